/// Keeps a view of some rows of the store up to date: reads them, then follows the changes.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cell/store.h"
#include "citronsill/timer.h"

namespace citronsill {

struct FollowerHooks {
  /// All rows as of one moment; replaces what was known.
  std::function<void(const std::vector<Row>& rows)> on_snapshot;
  std::function<void(const Row& row)> on_change;
};

/// Follows one table; of it, the rows of one part.
class TableFollower {
 public:
  /// @param name for logs.
  static std::unique_ptr<TableFollower> Create(TimerService& timers, RowStore* store,
                                               std::string table, std::string part,
                                               FollowerHooks hooks);
  ~TableFollower();

  /// @returns whether a snapshot was read.
  [[nodiscard]] bool IsLoaded() const;
  /// @returns when the store last answered, by `BootNow`; when it was created until then.
  [[nodiscard]] SteadyTime Heard() const;

 private:
  struct Impl;
  explicit TableFollower(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> m_impl;
};

/// Reads all rows of a range, page by page.
void ReadAll(RowStore* store, RowRange range, milliseconds timeout,
             std::function<void(Result<RowPage>)> done);

}  // namespace citronsill
