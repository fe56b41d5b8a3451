// Checks of what a simulated cell did and of how its jobs ended.
#pragma once

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "cell.h"

namespace citronsill::model {

inline void CheckHistory(const History& history) {
  for (const std::string& violation : history.violations) FAIL_CHECK(violation);
}

// The scheduler stores nothing that is over the limits of the store.
inline void CheckNoRefusals(const Store& store) {
  for (const std::string& refusal : store.refusals) FAIL_CHECK(refusal);
}

inline void CheckAllEnd(Cell& cell, const std::vector<std::string>& jobs) {
  for (const std::string& job : jobs) {
    INFO("job ", job);
    CHECK(cell.accepted.contains(job));
    const auto state = cell.State(job);
    REQUIRE(state.has_value());
    // A cancel call whose reply was lost may or may not have taken effect.
    if (cell.cancel_sent.contains(job)) {
      CHECK((*state == schema::JOB_STATE_CANCELLED || *state == schema::JOB_STATE_SUCCEEDED ||
             *state == schema::JOB_STATE_FAILED));
    } else {
      CHECK(*state == (cell.behaviors[job + "0"].fails ? schema::JOB_STATE_FAILED
                                                       : schema::JOB_STATE_SUCCEEDED));
    }
  }
}

}  // namespace citronsill::model
