#include "cell/table_reader.h"

#include <iterator>
#include <utility>

#include "cell/limits.h"
#include "cell/log.h"

namespace citronsill {

struct TableReader::Impl : std::enable_shared_from_this<Impl> {
  Impl(RowStore* row_store, RowRange row_range, DelayHook delay_hook, RandomHook random_hook,
       OnAnswerPart part_hook)
      : store(row_store),
        range(std::move(row_range)),
        after(std::move(delay_hook)),
        random(std::move(random_hook)),
        on_part(std::move(part_hook)) {}

  RowStore* store;
  const RowRange range;
  DelayHook after;
  RandomHook random;
  OnAnswerPart on_part;
  std::function<void(Result<RowPage>)> done;
  RowPage rows;                     // Of the pages before the current one.
  std::string from;                 // First key of the current page.
  std::uint64_t page = 0;           // Number of the current page since the reader was created.
  std::uint32_t requests = 0;       // Requests for the current page.
  std::uint32_t open_requests = 0;  // Those without an answer.
  bool has_long_request = false;    // One of them has the long time-out.
  bool is_arriving = false;         // A part has arrived since the last check for a repetition.

  void Begin(std::function<void(Result<RowPage>)> callback) {
    done = std::move(callback);
    rows = {};
    from = range.from;
    BeginPage();
  }

  void BeginPage() {
    ++page;
    requests = 0;
    open_requests = 0;
    has_long_request = false;
    is_arriving = false;
    RepeatLater();
    Request();
  }

  // Instances that lost the store at the same moment notice its return at different times, and the
  // first one tells the others about a new configuration.
  void RepeatLater() {
    const milliseconds spread(random() %
                              (kMaxReadRepeat - kMinReadRepeat + milliseconds(1)).count());
    const milliseconds delay = kMinReadRepeat + spread;
    after(delay, [weak = weak_from_this(), number = page] {
      const auto self = weak.lock();
      if (!self || self->page != number) return;
      if (std::exchange(self->is_arriving, false)) return self->RepeatLater();
      Log(LogLevel::kWarn, "read-repeated")
          .Field("table", self->range.table)
          .Field("requests", self->requests);
      self->RepeatLater();
      self->Request();
    });
  }

  void Request() {
    const bool is_long = !std::exchange(has_long_request, true);
    ++requests;
    ++open_requests;
    RowRange page_range = range;
    page_range.from = from;
    auto count_part = [weak = weak_from_this(), number = page] {
      const auto self = weak.lock();
      if (!self || self->page != number) return;
      self->is_arriving = true;
      if (self->on_part) self->on_part();
    };
    auto finish = [weak = weak_from_this(), number = page, is_long](Result<RowPage> result) {
      const auto self = weak.lock();
      if (!self || self->page != number) return;
      --self->open_requests;
      if (is_long) self->has_long_request = false;
      if (result) return self->OnPage(std::move(result).value());
      if (self->open_requests == 0) self->End(result.error());
    };
    store->ReadInParts(std::move(page_range), is_long ? kMaxTableReadTimeout : kStoreReadTimeout,
                       std::move(count_part), std::move(finish));
  }

  void OnPage(RowPage answer) {
    // Keep the version of the first page: changes made while later pages are read then show up in
    // the feed.
    if (rows.rows.empty()) rows.version = answer.version;
    const bool has_more = answer.truncated && !answer.rows.empty();
    if (has_more) from = answer.rows.back().key.key + '\0';
    rows.rows.insert(rows.rows.end(), std::make_move_iterator(answer.rows.begin()),
                     std::make_move_iterator(answer.rows.end()));
    if (has_more) return BeginPage();
    End(std::move(rows));
  }

  // `done` may begin the next read.
  void End(Result<RowPage> result) {
    ++page;
    const auto callback = std::exchange(done, nullptr);
    callback(std::move(result));
  }
};

TableReader::TableReader(RowStore* store, RowRange range, DelayHook after, RandomHook random,
                         OnAnswerPart on_part)
    : m_impl(std::make_shared<Impl>(store, std::move(range), std::move(after), std::move(random),
                                    std::move(on_part))) {}

TableReader::~TableReader() = default;

void TableReader::RepeatNow() {
  if (m_impl->done && !m_impl->is_arriving) m_impl->Request();
}

void TableReader::Read(std::function<void(Result<RowPage>)> done) {
  m_impl->Begin(std::move(done));
}

}  // namespace citronsill
