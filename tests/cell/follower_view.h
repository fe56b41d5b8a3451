// A follower of one row in model time, and the change that it has to see.
#pragma once

#include <memory>
#include <string>

#include "cell/follower.h"
#include "loop.h"
#include "outage_store.h"

namespace citronsill::model {

// Time from the acknowledgement of a change of the configuration until every instance has to use
// it.
constexpr milliseconds kChangeInForce{2000};

struct View {
  View(Loop& loop, RowStore& store) {
    FollowerHooks hooks;
    hooks.now = [&loop] { return loop.Now(); };
    hooks.after = [&loop](milliseconds delay, std::function<void()> action) {
      loop.After(delay, std::move(action));
    };
    hooks.random = [&loop] { return static_cast<std::uint32_t>(loop.Between(0, 1 << 30)); };
    hooks.on_snapshot = [this](const std::vector<Row>& rows) {
      for (const Row& row : rows) value = row.value;
    };
    hooks.on_change = [this](const Row& row) { value = row.value; };
    follower = TableFollower::Create(&store, "op", "", std::move(hooks));
  }

  std::string value;
  std::unique_ptr<TableFollower> follower;
};

inline bool Write(Store& rows, const std::string& value) {
  RowTransaction transaction;
  transaction.writes = {Row{RowKey{"op", "", "config"}, value}};
  return rows.Apply(transaction).committed;
}

// Runs the loop until the view has a value. @returns how long that took.
inline milliseconds TimeUntil(Loop& loop, const View& view, const std::string& value,
                              milliseconds limit) {
  const SteadyTime begin = loop.Now();
  while (view.value != value && loop.Now() < begin + limit) loop.RunFor(milliseconds(1));
  return std::chrono::duration_cast<milliseconds>(loop.Now() - begin);
}

}  // namespace citronsill::model
