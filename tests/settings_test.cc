#include "citronsill/settings.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

#include "schema/citronsill.pb.h"

namespace citronsill {
namespace {

const char* const kValid = R"({ // a comment
  "instance_id": "i-0", "failure_domain": "d-0",
  "api_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2",
  "table_address": "127.0.0.1:3", "directory_address": "127.0.0.1:3",
  "task_lease": "30s", "owner_timeout": "6s", "threads": 2, "log_level": "info",
  "classes": [
    {"name": "a", "idempotent": true, "default_size": {"processors": 1, "memory_mb": 64},
     "default_run_time": "1s", "max_attempts": 3},
    {"name": "b", "idempotent": true, "default_size": {"processors": 2, "memory_mb": 64},
     "default_run_time": "2s"}
  ]
})";

// The valid settings with one part of the text replaced.
std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kValid;
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

struct InvalidSettings {
  const char* kind;
  std::string text;
  schema::Code code;
  const char* key;
  const char* value;
  const char* allowed;
};

}  // namespace

// Guards against invalid settings that are accepted, and against messages without the details.
TEST_CASE("settings: each kind of error is rejected with file, key, value and what is allowed") {
  const auto invalid = schema::CODE_SETTINGS_INVALID;
  const InvalidSettings cases[] = {
      {"unknown key", Replaced("\"threads\"", "\"thraeds\""), invalid, "thraeds", "2", "threads"},
      {"unknown nested key", Replaced("\"processors\": 2", "\"cores\": 2"), invalid,
       "classes[1].default_size.cores", "2", "processors, memory_mb"},
      {"wrong type", Replaced("\"processors\": 2", "\"processors\": \"2\""), invalid,
       "classes[1].default_size.processors", "\"2\"", "a number"},
      {"list expected", Replaced("[\n    {\"name\": \"a\"", "{\"x\":[\n    {\"name\": \"a\""),
       schema::CODE_SETTINGS_UNREADABLE, "", "", "JSON"},
      {"missing unit", Replaced("\"30s\"", "30"), invalid, "task_lease", "30", "\"30s\""},
      {"wrong unit", Replaced("\"30s\"", "\"500ms\""), invalid, "task_lease", "500ms", "seconds"},
      {"negative", Replaced("\"threads\": 2", "\"threads\": -2"), invalid, "threads", "-2", "0 to"},
      {"fraction", Replaced("\"threads\": 2", "\"threads\": 2.5"), invalid, "threads", "2.5",
       "whole"},
      {"range", Replaced("\"threads\": 2", "\"threads\": 65"), invalid, "threads", "65", "1 to 64"},
      {"not a number of 32 bits", Replaced("\"threads\": 2", "\"threads\": 4294967296"), invalid,
       "threads", "4294967296", "4294967295"},
      {"unknown log level", Replaced("\"info\"", "\"loud\""), invalid, "log_level", "loud",
       "debug"},
      {"impossible combination", Replaced("\"6s\"", "\"40s\""), invalid, "owner_timeout", "40s",
       "less than task_lease"},
      {"lease too short", Replaced("\"30s\"", "\"3s\""), invalid, "task_lease", "3s", "\"4s\""},
      {"half of TLS", Replaced("\"threads\"", "\"tls_key_file\": \"k\", \"threads\""), invalid,
       "tls_certificate_file", "\"\"", "tls_key_file"},
      {"missing address", Replaced("\"table_address\": \"127.0.0.1:3\",", ""), invalid,
       "table_address", "\"\"", "IP:port"},
      {"host name", Replaced("127.0.0.1:2", "localhost:2"), invalid, "peer_address", "localhost:2",
       "IP:port"},
      {"port 0", Replaced("127.0.0.1:2", "127.0.0.1:0"), invalid, "peer_address", ":0",
       "1 to 65535"},
      {"duplicate address", Replaced("127.0.0.1:2", "127.0.0.1:1"), invalid, "peer_address",
       "127.0.0.1:1", "other than api_address"},
      {"own and platform's address", Replaced("127.0.0.1:2", "127.0.0.1:3"), invalid,
       "table_address", "127.0.0.1:3", "other than peer_address"},
      {"duplicate class", Replaced("\"name\": \"b\"", "\"name\": \"a\""), invalid,
       "classes[1].name", "\"a\"", "classes[0]"},
      {"class name", Replaced("\"name\": \"b\"", "\"name\": \"B b\""), invalid, "classes[1].name",
       "\"B b\"", "a-z"},
      {"class size", Replaced("\"processors\": 2", "\"processors\": 0"), invalid,
       "classes[1].default_size.processors", "0", "more than 0"},
      {"class that needs the journal", Replaced("\"idempotent\": true", "\"idempotent\": false"),
       invalid, "classes[0].durable", "false", "not idempotent"},
      {"unknown policy", Replaced("\"max_attempts\": 3", "\"policy\": \"FAST\""), invalid,
       "classes[0].policy", "FAST", "POLICY_BATCH"},
      {"key given twice", Replaced("\"threads\": 2", "\"threads\": 2, \"threads\": 3"), invalid,
       "threads", "twice", "once"},
      {"missing name", Replaced("\"instance_id\": \"i-0\",", ""), invalid, "instance_id", "\"\"",
       "a name"},
      {"cut off", std::string(kValid).substr(0, 200), schema::CODE_SETTINGS_UNREADABLE, "", "",
       "JSON with comments"},
      {"not UTF-8", Replaced("i-0", "i-\xff"), schema::CODE_SETTINGS_UNREADABLE, "", "", "UTF-8"},
      {"deep", std::string(100000, '['), schema::CODE_SETTINGS_UNREADABLE, "", "", "32 levels"},
  };
  if (const auto valid = ParseSettings("x.json", kValid); !valid) FAIL(Describe(valid.error()));
  for (const InvalidSettings& invalid_case : cases) {
    CAPTURE(std::string(invalid_case.kind));
    const auto settings = ParseSettings("x.json", invalid_case.text);
    REQUIRE_FALSE(settings);
    const std::string message = Describe(settings.error());
    CAPTURE(message);
    CHECK(settings.error().code == invalid_case.code);
    CHECK(message.find("x.json: ") != std::string::npos);
    CHECK(message.find("(" + std::to_string(invalid_case.code) + ")") != std::string::npos);
    CHECK(message.find(invalid_case.key) != std::string::npos);
    CHECK(message.find(invalid_case.value) != std::string::npos);
    CHECK(message.find(std::string("allowed: ")) != std::string::npos);
    CHECK(message.find(invalid_case.allowed) != std::string::npos);
  }
}

// Guards against missing defaults: an expression that both tested for and created a duration found
// it present and left it at 0 s.
TEST_CASE("settings: defaults are filled in") {
  const auto settings = ParseSettings("x.json", kValid);
  REQUIRE(settings);
  CHECK(settings.value().default_deadline().seconds() == 10);
  CHECK(settings.value().journal_interval().nanos() == 10000000);
  CHECK(settings.value().partition_count() == 64);
}

// Guards against example settings with which no instance starts.
TEST_CASE("settings: the examples pass") {
  for (const char* name : {"horseshoe", "shipyard"}) {
    const auto settings =
        LoadSettings(std::string(CITRONSILL_SOURCE_DIR) + "/examples/" + name + ".json");
    if (!settings) FAIL(Describe(settings.error()));
    CHECK(settings.value().cell() == name);
    CHECK_FALSE(settings.value().objects_address().empty());
  }
  CHECK(LoadSettings("/nonexistent/x.json").error().code == schema::CODE_SETTINGS_UNREADABLE);
}

}  // namespace citronsill
