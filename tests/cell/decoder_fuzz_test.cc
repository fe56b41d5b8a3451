// Texts of the platform with random faults: decoders refuse them or read what is left, and never
// throw.
#include <doctest/doctest.h>
#include <google/protobuf/stubs/logging.h>

#include <cmath>
#include <random>
#include <string>

#include "cell/config_push.h"
#include "cell/job.h"
#include "platform/platform.h"
#include "platform/wire.h"

namespace citronsill::platform {
namespace {

constexpr int kTextsPerCase = 20000;

constexpr const char* kWorkerText =
    R"({"service":"s","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,)"
    R"("state":"ready","coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},)"
    R"("labels":["a","r1-3"],"clockMs":482113,"sequence":4,"born":1790000000000})";

constexpr const char* kConfigText =
    R"({"version":7,"routes":[{"name":"r","host":"h.example","prefix":"/p/","timeoutMs":3000,)"
    R"("targetDurationMs":250,"priority":0,"service":"s","attempts":4,"stretch":1.5,)"
    R"("advice":{"decideMs":14.3,"eachMs":0.208,"validMs":2000}}],)"
    R"("services":[{"name":"s","admissionCheck":false}],"limits":{"maxHeaderBytes":16384}})";

// Customers of a configuration, with damage only to them and their neighbours.
constexpr const char* kCustomersText =
    R"({"version":7,"routes":[{"name":"r","prefix":"/p/","service":"s","public":true}],"tenants":[)"
    R"({"name":"a","weight":2.5,"cap":{"cpu":16000,"memMb":0,"gpu":1},"keys":["k-a1","k-a2"]},)"
    R"({"name":"b","weight":1,"keys":["k-b1"]},{"name":"c","keys":[]}]})";

// Replaces, removes, repeats or inserts a few pieces of a text.
std::string Damage(std::string text, std::mt19937* random) {
  static const std::string pieces[] = {"{",     "}",
                                       "[",     "]",
                                       "\"",    ":",
                                       ",",     "null",
                                       "true",  "-1",
                                       "1e9",   "\\u0",
                                       "\xff",  "9223372036854775808",
                                       "1e400", std::string(1, '\0')};
  const auto below = [random](std::size_t limit) { return (*random)() % limit; };
  for (std::size_t changes = 1 + below(4); changes > 0 && !text.empty(); --changes) {
    const std::size_t at = below(text.size());
    const std::size_t length = std::min(text.size() - at, below(12));
    switch (below(4)) {
      case 0:
        text.replace(at, length, pieces[below(std::size(pieces))]);
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      default:
        text.insert(at, pieces[below(std::size(pieces))]);
        break;
    }
  }
  return text;
}

TEST_CASE("decoders: rows of workers with random faults are read or refused") {
  std::mt19937 random(1);
  int read = 0;
  for (int i = 0; i < kTextsPerCase; ++i) {
    const Row row{{"servers", "", "i-1"}, Damage(kWorkerText, &random)};
    CHECK_NOTHROW(static_cast<void>(WorkerDigest(row)));
    CHECK_NOTHROW(read += ReadWorker(row) ? 1 : 0);
  }
  CHECK(read > 0);
  CHECK(read < kTextsPerCase);
}

TEST_CASE("decoders: configurations with random faults are read or refused") {
  std::mt19937 random(2);
  int read = 0;
  for (int i = 0; i < kTextsPerCase; ++i) {
    CHECK_NOTHROW(read += ReadConfig(Damage(kConfigText, &random)) ? 1 : 0);
  }
  CHECK(read > 0);
  CHECK(read < kTextsPerCase);
}

// Guards against customers in odd shapes that open queues to callers without a key, bring queues
// down with them, or reach other instances with their keys.
TEST_CASE("decoders: customers with random faults are read, or left out by themselves") {
  std::mt19937 random(5);
  const std::string text = kCustomersText;
  const std::size_t first = text.find("\"tenants\":") + std::string_view("\"tenants\":").size();
  const std::string before = text.substr(0, first);
  int read = 0;
  int customers = 0;
  for (int i = 0; i < kTextsPerCase; ++i) {
    // The last two characters end the list and the configuration.
    const std::string damaged = Damage(text.substr(first, text.size() - first - 2), &random) + "]}";
    Result<CellConfigPtr> config = Error{};
    REQUIRE_NOTHROW(config = ReadConfig(before + damaged));
    if (!config) continue;
    ++read;
    const CellConfig& value = *config.value();
    CHECK(value.queues.size() == 1);
    customers += static_cast<int>(value.customers->Customers().size());
    if (!value.customers->NeedsKeys()) {
      CAPTURE(damaged);
      // No list of customers is left at all.
      CHECK(value.customers->IsEmpty());
      CHECK((damaged.starts_with("[]") || damaged.starts_with("null")));
      continue;
    }
    CHECK(FindCaller(*value.customers, "", false).verdict == CallerVerdict::kNoKey);
    for (const Customer& customer : value.customers->Customers()) {
      CHECK(customer.weight >= 0.0);
      CHECK(std::isfinite(customer.weight));
    }
    // What is sent to another instance is read as the same there.
    const auto passed = ReadConfigPush(ReadConfig, MakeConfigPush(value));
    CAPTURE(damaged);
    CAPTURE(value.text_without_keys);
    REQUIRE(passed);
    CHECK(passed.value()->customers->NeedsKeys());
    CHECK(passed.value()->customers->KeyCount() == value.customers->KeyCount());
    CHECK(passed.value()->customers->Customers().size() == value.customers->Customers().size());
  }
  CHECK(read > kTextsPerCase / 10);
  CHECK(customers > read);
}

TEST_CASE("decoders: keys of customers from other instances with random faults") {
  google::protobuf::LogSilencer silencer;
  std::mt19937 random(6);
  const std::string text = MakeConfigPush(*ReadConfig(kCustomersText).value()).SerializeAsString();
  for (int i = 0; i < kTextsPerCase; ++i) {
    schema::ConfigPush push;
    if (!push.ParseFromString(Damage(text, &random))) continue;
    CHECK_NOTHROW(static_cast<void>(ReadConfigPush(ReadConfig, push)));
  }
}

TEST_CASE("decoders: task names and Base64 with random faults are read or refused") {
  std::mt19937 random(3);
  for (int i = 0; i < kTextsPerCase; ++i) {
    CHECK_NOTHROW(static_cast<void>(ParseTaskName(Damage("5c0e7a21d94b36f8.0.1.17", &random))));
    CHECK_NOTHROW(static_cast<void>(DecodeBase64(Damage("AAECAwQFBgcICQoLDA0ODw==", &random))));
  }
}

TEST_CASE("decoders: messages between instances with random faults are read or refused") {
  google::protobuf::LogSilencer silencer;
  std::mt19937 random(4);
  schema::LinkMessage message;
  message.set_call(7);
  message.mutable_submit()->mutable_spec()->set_id("5c0e7a21d94b36f8");
  message.mutable_submit()->mutable_spec()->add_steps()->set_task_count(3);
  const std::string text = message.SerializeAsString();
  for (int i = 0; i < kTextsPerCase; ++i) {
    schema::LinkMessage parsed;
    const std::string damaged = Damage(text, &random);
    if (!parsed.ParseFromString(damaged) || !parsed.has_submit()) continue;
    CHECK_NOTHROW(static_cast<void>(ValidateJob(parsed.submit().spec())));
  }
}

}  // namespace
}  // namespace citronsill::platform
