/// Client of the platform's transactional table service.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "citronsill/result.h"
#include "citronsill/runtime.h"

namespace citronsill {

/// The table service. Versions start at 1; version 0 means that the row does not exist.
class Table {
 public:
  virtual ~Table() = default;

  /// Reads one row; a row that does not exist has version 0.
  /// @param done gets the row, CODE_TABLE_UNAVAILABLE, or another error of the call.
  virtual void Read(std::string key, std::function<void(Result<schema::TableRow>)> done) = 0;

  /// Reads all rows whose key starts with `prefix`, ordered by key.
  /// @param done gets the rows or an error as for `Read`.
  virtual void Scan(std::string prefix,
                    std::function<void(Result<std::vector<schema::TableRow>>)> done) = 0;

  /// Applies all writes if all conditions hold.
  /// @param done gets the result, CODE_TABLE_UNAVAILABLE if the transaction certainly did not take
  /// effect, or CODE_COMMIT_UNKNOWN if it may have.
  virtual void Commit(schema::TableTransaction transaction,
                      std::function<void(Result<schema::TableCommitResult>)> done) = 0;
};

/// HTTP back end. @param address IP:port of the service.
Result<std::unique_ptr<Table>> CreateHttpTable(Runtime& runtime, const std::string& address);

}  // namespace citronsill
