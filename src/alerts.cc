#include "citronsill/report.h"
#include "internal.h"

namespace citronsill {
namespace {

struct Rule {
  const char* name;
  double short_burn;
  double long_burn;
  const char* required_action;
};

// If all requests fail at constant traffic, the short window reaches the fast rate after 30 s and
// the long window its rate after 36 s; a caller who waits for a quote cannot wait for a longer
// confirmation. The slow rule detects about 1% of failures, which use up the budget of the hour.
constexpr std::array<Rule, 2> kRules{{
    {"fast-burn", 10.0, 1.0, "act now"},
    {"slow-burn", 1.0, 1.0, "look today"},
}};

// An alert ends below this fraction of the short burn rate at which it starts.
constexpr double kEndRateFraction = 0.5;

// Fewer bad answers in the long window than this start no alert: one failure among ten requests a
// day is not a trend.
constexpr std::uint64_t kMinBadAnswers = 3;

}  // namespace

std::vector<std::string> AlertRules::Update(schema::Report* report) {
  std::vector<std::string> changes;
  for (const schema::ClassBurn& burn : report->classes()) {
    for (const Rule& rule : kRules) {
      const Key key{rule.name, burn.work_class()};
      const bool is_active = m_since_unix_ms.contains(key);
      const bool starts = !is_active && burn.long_bad() >= kMinBadAnswers &&
                          burn.short_burn() >= rule.short_burn &&
                          burn.long_burn() >= rule.long_burn;
      const bool ends = is_active && burn.short_burn() < kEndRateFraction * rule.short_burn;
      if (starts) m_since_unix_ms[key] = report->gathered_unix_ms();
      if (ends) m_since_unix_ms.erase(key);
      if (starts || ends) {
        changes.push_back(key.name + " " + key.work_class + (starts ? " started" : " ended"));
      }
    }
  }
  for (const Rule& rule : kRules) {
    for (const auto& [key, since] : m_since_unix_ms) {
      if (key.name != rule.name) continue;
      schema::Alert* alert = report->add_alerts();
      alert->set_name(key.name);
      alert->set_work_class(key.work_class);
      alert->set_since_unix_ms(since);
      // The slow alert requires nothing beyond the fast alert of the same class.
      const bool is_fast = m_since_unix_ms.contains(Key{kRules[0].name, key.work_class});
      if (key.name == kRules[0].name || !is_fast) {
        report->add_needs(key.work_class + " " + key.name + ": " + rule.required_action);
      }
    }
  }
  return changes;
}

}  // namespace citronsill
