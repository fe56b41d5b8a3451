// Reports each test case as a line "ok NAME" or "not ok NAME", for scripts/test.sh. What failed in
// it precedes that line, in lines that begin with '#'.
#pragma once

#include <doctest/doctest.h>

#include <ostream>
#include <sstream>
#include <string>

namespace citronsill {

class LineReporter : public doctest::IReporter {
 public:
  explicit LineReporter(const doctest::ContextOptions& options) : m_out(*options.cout) {}

  void test_case_start(const doctest::TestCaseData& test) override { m_name = test.m_name; }
  // `testCaseSuccess` covers what the JUnit reporter of doctest leaves out: FAIL_CHECK, exceptions
  // and time-outs.
  void test_case_end(const doctest::CurrentTestCaseStats& result) override {
    m_out << (result.testCaseSuccess ? "ok " : "not ok ") << m_name << std::endl;
  }
  void test_case_exception(const doctest::TestCaseException& exception) override {
    Note(exception.error_string.c_str());
  }
  void log_assert(const doctest::AssertData& check) override {
    if (!check.m_failed) return;
    std::ostringstream text;
    text << check.m_file << ":" << check.m_line << ": " << check.m_expr << " ("
         << (check.m_threw ? check.m_exception : check.m_decomp) << ")";
    const int contexts = get_num_active_contexts();
    for (int i = 0; i < contexts; ++i) {
      text << " ";
      get_active_contexts()[i]->stringify(&text);
    }
    Note(text.str());
  }
  void log_message(const doctest::MessageData& message) override {
    if ((message.m_severity & doctest::assertType::is_warn) != 0) return;  // MESSAGE, not FAIL.
    std::ostringstream text;
    text << message.m_file << ":" << message.m_line << ": " << message.m_string;
    Note(text.str());
  }

  void report_query(const doctest::QueryData&) override {}
  void test_run_start() override {}
  void test_run_end(const doctest::TestRunStats&) override {}
  void test_case_reenter(const doctest::TestCaseData&) override {}
  void subcase_start(const doctest::SubcaseSignature&) override {}
  void subcase_end() override {}
  void test_case_skipped(const doctest::TestCaseData&) override {}

 private:
  void Note(std::string text) {
    for (char& c : text) {
      if (c == '\n') c = ' ';
    }
    m_out << "# " << text << std::endl;
  }

  std::ostream& m_out;
  std::string m_name;
};

REGISTER_REPORTER("lines", 1, LineReporter);

}  // namespace citronsill
