/// The configuration as instances send it to one another: a text without the keys of customers, and
/// digests of the keys.
#pragma once

#include <functional>
#include <string>

#include "cell/settings.h"
#include "citronsill/result.h"
#include "schema/cell.pb.h"

namespace citronsill {

/// @returns the configuration for another instance.
schema::ConfigPush MakeConfigPush(const CellConfig& config);

/// @param read decodes the text of a configuration; see `PlatformServices::read_config`.
/// @returns the configuration that another instance has sent; CODE_INVALID_FIELD if its customers
/// have lost their keys on the way, which happens when an instance of a version without customers
/// passes the text on. In force, it would refuse all calls.
Result<CellConfigPtr> ReadConfigPush(
    const std::function<Result<CellConfigPtr>(const std::string&)>& read,
    const schema::ConfigPush& push);

}  // namespace citronsill
