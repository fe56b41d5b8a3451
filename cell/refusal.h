/// When callers that are turned away are told to come back. Pure.
#pragma once

#include "cell/types.h"

namespace citronsill {

/// A job is late, but worth something, up to this many times its objective; a rule of the platform.
inline constexpr int kLateFactor = 3;

/// Load pattern: the store is down for 4 to 9 s and no work can be accepted. A caller comes back a
/// few times. Tries after its job has stopped to be worth anything are lost, and so is the time
/// between the end of the outage and its next try: its tries are spread over the time that it has.
/// @param objective in which jobs like this one have to be done, from their first submission on; 0
/// when none was seen yet.
/// @returns the time until its next try.
milliseconds RetryAfter(milliseconds objective);

}  // namespace citronsill
