#include <ctime>

#include "citronsill/report.h"
#include "internal.h"

namespace citronsill {
namespace {

// With the head, "state unknown", the table head and five lines of state, these add up to
// `kReportLines`.
constexpr int kMaxClassLines = 5;
constexpr int kMaxAlertLines = 2;
constexpr int kMaxNeedLines = 3;
constexpr int kMaxRefusalLines = 2;
constexpr std::size_t kClassColumns = 17;

std::string Truncate(const std::string& text, std::size_t columns) {
  if (text.size() <= columns) return text;
  return text.substr(0, columns - 1) + "~";
}

// @returns for example "7/8": the number of instances heard and the number expected.
std::string HeardOfExpected(const schema::Report& report) {
  return fmt::format("{}/{}", report.heard(), report.expected());
}

std::string FormatRate(double burn) {
  return burn >= 99.95 ? std::string("100+") : fmt::format("{:.1f}", burn);
}

std::string FormatBudget(const schema::ClassBurn& burn) {
  return fmt::format("{:.0f}%", std::clamp(burn.budget_left(), -9.99, 1.0) * 100.0);
}

// If no instance was heard, figures are unknown, not zero.
std::string ValueOrUnknown(const schema::Report& report, std::uint64_t value) {
  return report.heard() == 0 ? "unknown" : std::to_string(value);
}

std::string UnknownLine(const schema::Report& report) {
  if (report.unknown_size() == 0) return "unknown: none";
  std::string text = "unknown " + std::to_string(report.unknown_size()) + ":";
  for (const std::string& instance : report.unknown()) text += " " + instance;
  return text;
}

std::string WorkersLine(const schema::Report& report) {
  const std::string listed =
      report.listed_known() ? std::to_string(report.listed_workers()) : "unknown";
  return "workers " + ValueOrUnknown(report, report.workers()) + " of " + listed + " quar " +
         ValueOrUnknown(report, report.quarantined());
}

std::string RecordLine(const schema::Report& report) {
  std::uint64_t highest = 0;
  for (const auto& instance_revision : report.revisions())
    highest = std::max(highest, instance_revision.revision());
  unsigned at_highest = 0;
  for (const auto& instance_revision : report.revisions()) {
    if (instance_revision.heard() && instance_revision.revision() == highest) ++at_highest;
  }
  return fmt::format("records rev {} on {}/{}", highest, at_highest, report.expected());
}

// Lines of a report by kind, shared by the text and the HTML page.
struct Lines {
  std::string head;
  std::vector<std::string> needs;
  std::vector<std::string> alerts;
  std::vector<std::string> state;
  std::vector<std::string> refusals;
};

template <class Items, class Format>
std::vector<std::string> FormatItems(const Items& items, int max_lines, Format format) {
  std::vector<std::string> lines;
  for (const auto& item : items) {
    if (static_cast<int>(lines.size()) + 1 == max_lines && items.size() > max_lines) {
      lines.push_back(fmt::format("+{} more", items.size() - static_cast<int>(lines.size())));
      break;
    }
    lines.push_back(format(item));
  }
  return lines;
}

Lines MakeLines(const std::string& cell, const schema::Report& report) {
  const std::string heard_of_expected = HeardOfExpected(report);
  Lines lines;
  lines.head = fmt::format("{} {} from {}", Truncate(cell, 14), ClockTime(report.as_of_unix_ms()),
                           heard_of_expected);
  lines.needs = FormatItems(report.needs(), kMaxNeedLines,
                            [](const std::string& need) { return "! " + need; });
  lines.alerts = FormatItems(report.alerts(), kMaxAlertLines, [](const schema::Alert& alert) {
    return alert.name() + " " + Truncate(alert.work_class(), kClassColumns) + " " +
           ClockTime(alert.since_unix_ms());
  });
  lines.state = {
      UnknownLine(report),
      "waiting " + ValueOrUnknown(report, report.waiting()) + " running " +
          ValueOrUnknown(report, report.running()) + " " + heard_of_expected,
      WorkersLine(report) + " " + heard_of_expected,
      fmt::format("table up on {}/{} draining {}", report.table_up(), report.expected(),
                  report.draining_size()),
      RecordLine(report),
  };
  lines.refusals =
      FormatItems(report.refusals(), kMaxRefusalLines, [&](const schema::CodeCount& count) {
        return fmt::format("refused {} {} {}", count.count(), CodeName(count.code()),
                           heard_of_expected);
      });
  return lines;
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

std::string Paragraphs(const std::vector<std::string>& lines, const char* attributes) {
  std::string html;
  for (const std::string& line : lines) {
    html += std::string("<p") + attributes + ">" + EscapeHtml(line) + "</p>\n";
  }
  return html;
}

}  // namespace

std::string ClockTime(std::int64_t unix_ms) {
  const std::time_t seconds = unix_ms / 1000;
  std::tm time{};
  gmtime_r(&seconds, &time);
  return fmt::format("{:02}:{:02}:{:02}Z", time.tm_hour, time.tm_min, time.tm_sec);
}

std::string ReportText(const std::string& cell, const schema::Report& report) {
  const Lines lines = MakeLines(cell, report);
  std::vector<std::string> all{lines.head};
  const auto add = [&](const std::vector<std::string>& added) {
    all.insert(all.end(), added.begin(), added.end());
  };
  if (report.heard() == 0) all.emplace_back("state unknown");
  if (report.heard() > 0 && lines.needs.empty()) all.emplace_back("nothing needs a person");
  add(lines.needs);
  add(lines.alerts);
  all.push_back(fmt::format("{:<17}{:>6}{:>6}{:>7}", "burn " + HeardOfExpected(report), "5min",
                            "1h", "left"));
  add(FormatItems(report.classes(), kMaxClassLines, [](const schema::ClassBurn& burn) {
    return fmt::format("{:<17}{:>6}{:>6}{:>7}", Truncate(burn.work_class(), kClassColumns - 1),
                       FormatRate(burn.short_burn()), FormatRate(burn.long_burn()),
                       FormatBudget(burn));
  }));
  add(lines.state);
  add(lines.refusals);
  std::string text;
  for (std::size_t i = 0; i < std::min(all.size(), kReportLines); ++i) {
    text += Truncate(all[i], kReportColumns) + "\n";
  }
  return text;
}

std::string ReportHtml(const std::string& cell, const schema::Report& report) {
  const Lines lines = MakeLines(cell, report);
  std::string html =
      "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n"
      "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">\n"
      "<title>" +
      EscapeHtml(cell) +
      "</title>\n<style>body{font:16px/1.4 sans-serif;margin:8px;max-width:40em;"
      "overflow-wrap:anywhere}p{margin:4px 0}table{width:100%;border-collapse:collapse}"
      "td,th{text-align:right;padding:3px}td:first-child,th:first-child{text-align:left}"
      ".need{background:#fdd;color:#600;padding:4px}</style></head><body>\n";
  html += "<h1 style=\"font-size:18px\">" + EscapeHtml(lines.head) + "</h1>\n";
  if (report.heard() == 0) html += "<p class=\"need\">state unknown</p>\n";
  if (report.heard() > 0 && lines.needs.empty()) html += "<p>nothing needs a person</p>\n";
  html += Paragraphs(lines.needs, " class=\"need\"") + Paragraphs(lines.alerts, "");
  html += "<table><tr><th>burn " + HeardOfExpected(report) +
          "</th><th>5 min</th><th>1 h</th><th>left</th>";
  for (const schema::ClassBurn& burn : report.classes()) {
    html += "</tr>\n<tr><td>" + EscapeHtml(burn.work_class()) + "</td><td>" +
            FormatRate(burn.short_burn()) + "</td><td>" + FormatRate(burn.long_burn()) +
            "</td><td>" + FormatBudget(burn) + "</td>";
  }
  html += "</tr></table>\n" + Paragraphs(lines.state, "") + Paragraphs(lines.refusals, "");
  return html + "</body></html>\n";
}

}  // namespace citronsill
