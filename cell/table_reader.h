/// Reads tables of a store that may be slow, refuse calls or fall silent.
#pragma once

#include <functional>
#include <memory>

#include "cell/store.h"

namespace citronsill {

/// Reads all rows of a range, page by page. The answer to the request for a page may take up to
/// `kMaxTableReadTimeout` to begin, because the store may be slow. Meanwhile the page is requested
/// again, at the latest after `kMaxReadRepeat`, because the request may be lost: the first answer
/// counts, and a store that answers again is noticed within that time. While an answer is arriving,
/// the page is not requested again: that would only slow the transfer down.
class TableReader {
 public:
  /// @param store must outlive the reader.
  /// @param on_part called when a part of an answer has arrived; may be empty.
  TableReader(RowStore* store, RowRange range, DelayHook after, RandomHook random,
              OnAnswerPart on_part = nullptr);
  ~TableReader();
  TableReader(const TableReader&) = delete;
  TableReader& operator=(const TableReader&) = delete;

  /// Begins a read; the one before must have ended. When the reader is destroyed, `done` is not
  /// called any more.
  /// @param done gets the rows and the version of the first page; when all requests for a page have
  /// failed, the last error of `RowStore::Read`.
  void Read(std::function<void(Result<RowPage>)> done);

  /// Requests the current page of a read in progress again at once, unless it is arriving: the
  /// store is known to answer.
  void RepeatNow();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace citronsill
