#include "citronsill/report.h"

#include <doctest/doctest.h>

#include <sstream>

#include "schema/citronsill.pb.h"

namespace citronsill {
namespace {

schema::ReportPart MakePart(const std::string& instance, std::uint64_t total, std::uint64_t bad) {
  schema::ReportPart part;
  part.set_instance(instance);
  part.set_as_of_unix_ms(1'000'000);
  part.set_waiting(3);
  part.set_workers(5);
  part.set_table_up(true);
  part.set_record_revision(7);
  schema::ClassCounts* counts = part.add_classes();
  counts->set_work_class("quick-quote");
  counts->set_short_total(total);
  counts->set_short_bad(bad);
  counts->set_long_total(total);
  counts->set_long_bad(bad);
  return part;
}

// A report with the given burn rates of both windows.
schema::Report ReportWithBurn(double short_burn, double long_burn) {
  schema::Report report;
  report.set_heard(1);
  schema::ClassBurn* burn = report.add_classes();
  burn->set_work_class("a");
  burn->set_short_burn(short_burn);
  burn->set_long_burn(long_burn);
  burn->set_long_bad(100);
  return report;
}

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::stringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

}  // namespace

// Guards against an unresponsive instance that is shown as zero or with old figures.
TEST_CASE("report: an instance that was not heard is unknown and adds nothing") {
  ReportInput input;
  input.parts = {MakePart("i-0", 100, 1), MakePart("i-1", 100, 3)};
  input.parts[1].set_as_of_unix_ms(999'000);
  input.expected = {"i-0", "i-1", "i-2"};
  input.listed_workers = 16;
  input.now_unix_ms = 1'000'500;
  const schema::Report report = BuildReport(input);
  CHECK(report.heard() == 2);
  CHECK(report.expected() == 3);
  REQUIRE(report.unknown_size() == 1);
  CHECK(report.unknown(0) == "i-2");
  CHECK(report.waiting() == 6);
  CHECK(report.as_of_unix_ms() == 999'000);
  CHECK(report.classes(0).long_burn() == doctest::Approx(2.0));
  CHECK(report.classes(0).budget_left() == doctest::Approx(-1.0));
  // Workers of the unresponsive instance are not reported as lost.
  for (const std::string& need : report.needs()) CHECK(need.find("lost") == std::string::npos);
  const std::string text = ReportText("horseshoe", report);
  CHECK(text.find("from 2/3") != std::string::npos);
  CHECK(text.find("unknown 1: i-2") != std::string::npos);
  CHECK(text.find("00:16:39Z") != std::string::npos);

  input.parts.clear();
  const std::string silent = ReportText("horseshoe", BuildReport(input));
  CHECK(silent.find("waiting unknown running unknown") != std::string::npos);
  CHECK(silent.find("state unknown") != std::string::npos);
}

// Guards against lost workers and outages that are not reported.
TEST_CASE("report: actions required of an operator are listed") {
  ReportInput input;
  input.parts = {MakePart("i-0", 100, 0)};
  input.expected = {"i-0"};
  input.listed_workers = 7;
  input.parts[0].set_quarantined(1);
  input.parts[0].set_table_up(false);
  input.parts[0].set_draining(true);
  const std::string text = ReportText("horseshoe", BuildReport(input));
  CHECK(text.find("! 2 worker(s) lost") != std::string::npos);
  CHECK(text.find("! 1 worker(s) quarantined") != std::string::npos);
  CHECK(text.find("! table down on 1") != std::string::npos);
  CHECK(text.find("table up on 0/1 draining 1") != std::string::npos);
}

// Guards against reports that do not fit on a phone, however much there is to report.
TEST_CASE("report: at most 20 lines of 40 columns") {
  ReportInput input;
  for (int i = 0; i < 30; ++i) {
    schema::ReportPart part = MakePart("instance-with-a-long-name-" + std::to_string(i), 100, 50);
    part.set_waiting(123456789);
    part.set_running(123456789);
    part.set_workers(930);
    part.set_quarantined(930);
    for (int k = 0; k < 40; ++k) {
      schema::ClassCounts* counts = part.add_classes();
      *counts = part.classes(0);
      counts->set_work_class(std::string(60, 'x') + std::to_string(k));
    }
    for (const int code : {301, 302, 303, 304, 305, 401, 501}) {
      schema::CodeCount* count = part.add_refusals();
      count->set_code(static_cast<schema::Code>(code));
      count->set_count(123456789);
    }
    input.parts.push_back(part);
    input.expected.push_back("silent-instance-" + std::to_string(i));
  }
  input.listed_workers = 100000;
  schema::Report report = BuildReport(input);
  AlertRules().Update(&report);
  const auto lines = SplitLines(ReportText(std::string(60, 'c'), report));
  CHECK(lines.size() <= kReportLines);
  for (const std::string& line : lines) CHECK(line.size() <= kReportColumns);
  // The rejections come last and must not be cut off.
  CHECK(lines.back().find("more") != std::string::npos);
  const std::string html = ReportHtml("<cell>", report);
  CHECK(html.find("<script") == std::string::npos);
  CHECK(html.find("<cell>") == std::string::npos);
}

// Guards against alerts that flap while the rate stays near the threshold.
TEST_CASE("report: alerts need both windows and end with hysteresis") {
  AlertRules rules;
  const auto update = [&](double short_burn, double long_burn) {
    schema::Report report = ReportWithBurn(short_burn, long_burn);
    rules.Update(&report);
    return report.alerts_size();
  };
  CHECK(update(50.0, 0.9) == 0);  // A short peak.
  CHECK(update(0.4, 5.0) == 0);   // Failures long ago.
  CHECK(update(1.1, 1.1) == 1);   // The slow alert.
  CHECK(update(0.6, 1.1) == 1);
  CHECK(update(1.1, 0.4) == 1);
  CHECK(update(0.4, 1.1) == 0);
  CHECK(update(0.9, 1.1) == 0);
  CHECK(update(12.0, 1.1) == 2);  // The fast and the slow alert.
  CHECK(update(6.0, 3.0) == 2);
  CHECK(update(4.0, 3.0) == 1);
  CHECK(update(0.0, 3.0) == 0);
  // Alerts of a class that no instance reports stay active: missing reports do not mean recovery.
  CHECK(update(12.0, 2.0) == 2);
  schema::Report silent;
  rules.Update(&silent);
  CHECK(silent.alerts_size() == 2);
}

// Guards against an alert because of one or two failed requests.
TEST_CASE("report: few failures start no alert") {
  AlertRules rules;
  schema::Report report = ReportWithBurn(50.0, 50.0);
  report.mutable_classes(0)->set_long_bad(2);
  CHECK(rules.Update(&report).empty());
}

// Guards against answers counted in the wrong window, and against unbounded class names.
TEST_CASE("report: answers are counted over 5 minutes and an hour") {
  using std::chrono::minutes;
  AnswerCounts counts;
  const SteadyTime start{std::chrono::hours(10)};
  counts.Count("a", schema::CODE_OVERLOADED, start);
  counts.Count("a", schema::CODE_OK, start + minutes(10));
  counts.Count("a", schema::CODE_CANCELLED, start + minutes(10));
  const auto at = [&](minutes time) {
    schema::ReportPart part;
    counts.FillReportPart(start + time, &part);
    return part;
  };
  CHECK(at(minutes(1)).classes(0).short_bad() == 1);
  CHECK(at(minutes(1)).refusals(0).code() == schema::CODE_OVERLOADED);
  CHECK(at(minutes(11)).classes(0).short_total() == 2);
  CHECK(at(minutes(11)).classes(0).short_bad() == 0);
  CHECK(at(minutes(11)).classes(0).long_total() == 3);
  CHECK(at(minutes(11)).classes(0).long_bad() == 1);
  CHECK(at(minutes(11)).refusals_size() == 0);
  CHECK(at(minutes(61)).classes(0).long_total() == 2);
  for (int i = 0; i < 1000; ++i) counts.Count(std::to_string(i), schema::CODE_OK, start);
  CHECK(at(minutes(0)).classes_size() == 65);
}

}  // namespace citronsill
