#include "citronsill/report.h"

#include "internal.h"

namespace citronsill {
namespace {

constexpr std::chrono::seconds kBucketWidth{10};
constexpr std::size_t kShortBuckets = kShortWindow / kBucketWidth;
constexpr std::size_t kLongBuckets = kLongWindow / kBucketWidth;
constexpr std::size_t kMaxClasses = 64;
const char* const kOther = "other";

struct Bucket {
  std::int64_t number = -1;  // Time divided by the width of a bucket.
  std::uint64_t total = 0;
  std::uint64_t bad = 0;
};

// Counts over the long window, in a ring buffer.
class Window {
 public:
  void Count(bool is_bad, std::int64_t number) {
    Bucket& bucket = m_buckets[static_cast<std::size_t>(number) % kLongBuckets];
    if (bucket.number != number) bucket = Bucket{number, 0, 0};
    ++bucket.total;
    if (is_bad) ++bucket.bad;
  }

  // @returns the sum of the last `count` buckets.
  Bucket Sum(std::int64_t current_number, std::size_t count) const {
    Bucket sum;
    for (const Bucket& bucket : m_buckets) {
      if (bucket.number < 0 || bucket.number + static_cast<std::int64_t>(count) <= current_number)
        continue;
      sum.total += bucket.total;
      sum.bad += bucket.bad;
    }
    return sum;
  }

 private:
  std::array<Bucket, kLongBuckets> m_buckets;
};

std::int64_t BucketNumber(SteadyTime now) { return now.time_since_epoch() / kBucketWidth; }

// @returns whether the report lists the code as a refusal, whether or not it uses error budget. 300
// to 399 are the codes of requests that were not accepted.
bool IsRefusal(schema::Code code) {
  return code == schema::CODE_UNAUTHENTICATED || code == schema::CODE_FORBIDDEN ||
         (code >= 300 && code < 400) || code == schema::CODE_TABLE_UNAVAILABLE ||
         code == schema::CODE_NOT_RUN || code == schema::CODE_UNKNOWN_CLASS;
}

double BurnRate(std::uint64_t total, std::uint64_t bad) {
  if (total == 0) return 0.0;
  return static_cast<double>(bad) / static_cast<double>(total) / (1.0 - kServiceLevelObjective);
}

}  // namespace

bool UsesErrorBudget(schema::Code code) {
  switch (code) {
    case schema::CODE_OVERLOADED:
    case schema::CODE_NOT_RUN:
    case schema::CODE_OUTCOME_UNKNOWN:
    case schema::CODE_DEADLINE_PASSED:
    case schema::CODE_RETRIES_EXHAUSTED:
    case schema::CODE_INTERNAL:
      return true;
    default:  // 500 to 699 are errors of other systems and between instances.
      return code >= 500 && code < 700;
  }
}

struct AnswerCounts::Impl {
  mutable std::mutex mutex;
  std::map<std::string, Window> classes;
  std::map<schema::Code, Window> refusals;
};

AnswerCounts::AnswerCounts() : m_impl(std::make_unique<Impl>()) {}

AnswerCounts::~AnswerCounts() = default;

void AnswerCounts::Count(const std::string& work_class, schema::Code code, SteadyTime now) {
  std::lock_guard lock(m_impl->mutex);
  const bool is_full = m_impl->classes.size() >= kMaxClasses;
  const bool is_kept = !is_full || m_impl->classes.contains(work_class);
  m_impl->classes[is_kept ? work_class : kOther].Count(UsesErrorBudget(code), BucketNumber(now));
  if (IsRefusal(code)) m_impl->refusals[code].Count(true, BucketNumber(now));
}

void AnswerCounts::FillReportPart(SteadyTime now, schema::ReportPart* part) const {
  std::lock_guard lock(m_impl->mutex);
  const std::int64_t number = BucketNumber(now);
  for (const auto& [name, window] : m_impl->classes) {
    const Bucket short_sum = window.Sum(number, kShortBuckets);
    const Bucket long_sum = window.Sum(number, kLongBuckets);
    schema::ClassCounts* counts = part->add_classes();
    counts->set_work_class(name);
    counts->set_short_total(short_sum.total);
    counts->set_short_bad(short_sum.bad);
    counts->set_long_total(long_sum.total);
    counts->set_long_bad(long_sum.bad);
  }
  for (const auto& [code, window] : m_impl->refusals) {
    const Bucket short_sum = window.Sum(number, kShortBuckets);
    if (short_sum.total == 0) continue;
    schema::CodeCount* count = part->add_refusals();
    count->set_code(code);
    count->set_count(short_sum.total);
  }
}

namespace {

void AddClasses(const std::vector<schema::ReportPart>& parts, schema::Report* report) {
  std::map<std::string, schema::ClassCounts> sums;
  for (const schema::ReportPart& part : parts) {
    for (const schema::ClassCounts& counts : part.classes()) {
      schema::ClassCounts& sum = sums[counts.work_class()];
      sum.set_short_total(sum.short_total() + counts.short_total());
      sum.set_short_bad(sum.short_bad() + counts.short_bad());
      sum.set_long_total(sum.long_total() + counts.long_total());
      sum.set_long_bad(sum.long_bad() + counts.long_bad());
    }
  }
  for (const auto& [name, sum] : sums) {
    schema::ClassBurn* burn = report->add_classes();
    burn->set_work_class(name);
    burn->set_short_burn(BurnRate(sum.short_total(), sum.short_bad()));
    burn->set_long_burn(BurnRate(sum.long_total(), sum.long_bad()));
    burn->set_budget_left(1.0 - burn->long_burn());
    burn->set_long_total(sum.long_total());
    burn->set_long_bad(sum.long_bad());
  }
  // Worst class first, because a small screen shows only some of them.
  std::stable_sort(report->mutable_classes()->begin(), report->mutable_classes()->end(),
                   [](const schema::ClassBurn& a, const schema::ClassBurn& b) {
                     return a.short_burn() + a.long_burn() > b.short_burn() + b.long_burn();
                   });
}

void AddRefusals(const std::vector<schema::ReportPart>& parts, schema::Report* report) {
  std::map<schema::Code, std::uint64_t> sums;
  for (const schema::ReportPart& part : parts) {
    for (const schema::CodeCount& count : part.refusals()) sums[count.code()] += count.count();
  }
  std::vector<std::pair<std::uint64_t, schema::Code>> ordered;
  ordered.reserve(sums.size());
  for (const auto& [code, count] : sums) ordered.emplace_back(count, code);
  std::sort(ordered.rbegin(), ordered.rend());
  for (const auto& [count, code] : ordered) {
    schema::CodeCount* sum = report->add_refusals();
    sum->set_code(code);
    sum->set_count(count);
  }
}

void AddPart(const schema::ReportPart& part, schema::Report* report) {
  report->set_waiting(report->waiting() + part.waiting());
  report->set_running(report->running() + part.running());
  report->set_workers(report->workers() + part.workers());
  report->set_quarantined(report->quarantined() + part.quarantined());
  if (part.table_up()) report->set_table_up(report->table_up() + 1);
  if (part.draining()) report->add_draining(part.instance());
  schema::InstanceRevision* revision = report->add_revisions();
  revision->set_instance(part.instance());
  revision->set_revision(part.record_revision());
  revision->set_since_unix_ms(part.record_since_unix_ms());
  revision->set_source(part.record_source());
  revision->set_heard(true);
}

void AddUnknown(const ReportInput& input, schema::Report* report) {
  std::set<std::string> heard;
  for (const schema::ReportPart& part : input.parts) heard.insert(part.instance());
  std::set<std::string> all(input.expected.begin(), input.expected.end());
  all.insert(heard.begin(), heard.end());
  report->set_heard(static_cast<std::uint32_t>(heard.size()));
  report->set_expected(static_cast<std::uint32_t>(all.size()));
  for (const std::string& instance : all) {
    if (heard.contains(instance)) continue;
    report->add_unknown(instance);
    report->add_revisions()->set_instance(instance);
  }
}

// Adds the actions that the figures require of an operator, apart from those of the alerts.
void AddNeeds(schema::Report* report) {
  if (report->unknown_size() > 0) {
    report->add_needs(std::to_string(report->unknown_size()) + " instance(s) silent: check them");
  }
  if (report->table_up() < report->heard()) {
    report->add_needs("table down on " + std::to_string(report->heard() - report->table_up()) +
                      ": ask the platform");
  }
  if (report->quarantined() > 0) {
    report->add_needs(std::to_string(report->quarantined()) + " worker(s) quarantined: look");
  }
  const bool is_complete = report->heard() == report->expected();
  if (report->listed_known() && is_complete && report->workers() < report->listed_workers()) {
    report->add_needs(std::to_string(report->listed_workers() - report->workers()) +
                      " worker(s) lost: look");
  }
}

}  // namespace

schema::Report BuildReport(const ReportInput& input) {
  schema::Report report;
  report.set_gathered_unix_ms(input.now_unix_ms);
  report.set_as_of_unix_ms(input.now_unix_ms);
  AddClasses(input.parts, &report);
  AddRefusals(input.parts, &report);
  for (const schema::ReportPart& part : input.parts) {
    AddPart(part, &report);
    report.set_as_of_unix_ms(std::min(report.as_of_unix_ms(), part.as_of_unix_ms()));
  }
  AddUnknown(input, &report);
  report.set_listed_known(input.listed_workers.has_value());
  report.set_listed_workers(input.listed_workers.value_or(0));
  AddNeeds(&report);
  return report;
}

}  // namespace citronsill
