// Cost of encoding messages between instances: one forwarded request as JSON and as binary
// protobuf, and the second parse that libjsonrpccpp does on the server.
#include <benchmark/benchmark.h>
#include <jsonrpccpp/common/jsonparser.h>

#include "citronsill/codec.h"
#include "schema/citronsill.pb.h"

namespace citronsill {
namespace {

schema::Forward Sample() {
  schema::Forward forward;
  forward.set_id("9e3463062cb2009ee7469f13c5921742");
  forward.set_entry_id("horseshoe-3");
  forward.set_entry_address("127.0.0.1:8203");
  forward.set_submission(0x9E3779B97F4A7C15);
  SetDuration(std::chrono::milliseconds(2500), forward.mutable_deadline_left());
  schema::Request& request = *forward.mutable_request();
  request.set_work_class("quick-quote");
  request.set_team("north");
  request.set_key("quote-2026-12-04-000017");
  request.mutable_size()->set_processors(1);
  request.mutable_size()->set_memory_mb(512);
  SetDuration(std::chrono::milliseconds(200), request.mutable_run_time());
  request.set_payload("4 shoes, size 3, for the grey mare in the yard");
  return forward;
}

void WriteJson(benchmark::State& state) {
  const schema::Forward forward = Sample();
  for (auto _ : state) benchmark::DoNotOptimize(ToJson(forward));
  state.counters["bytes"] = static_cast<double>(ToJson(forward).size());
}
BENCHMARK(WriteJson);

void ReadJson(benchmark::State& state) {
  const std::string json = ToJson(Sample());
  for (auto _ : state) {
    schema::Forward forward;
    benchmark::DoNotOptimize(FromJson(json, UnknownFields::kIgnore, &forward).has_value());
  }
}
BENCHMARK(ReadJson);

// Overhead of the dispatch by libjsonrpccpp: it parses and prints the same text once more.
void ReparseJson(benchmark::State& state) {
  const std::string json = ToJson(Sample());
  for (auto _ : state) {
    Json::Value value;
    Json::Reader reader;
    reader.parse(json, value);
    Json::FastWriter writer;
    benchmark::DoNotOptimize(writer.write(value));
  }
}
BENCHMARK(ReparseJson);

void WriteAndReadBinary(benchmark::State& state) {
  const schema::Forward forward = Sample();
  for (auto _ : state) {
    schema::Forward read;
    benchmark::DoNotOptimize(read.ParseFromString(forward.SerializeAsString()));
  }
  state.counters["bytes"] = static_cast<double>(forward.ByteSizeLong());
}
BENCHMARK(WriteAndReadBinary);

}  // namespace
}  // namespace citronsill

BENCHMARK_MAIN();
