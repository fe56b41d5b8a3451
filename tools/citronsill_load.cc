// Load generator: sends a mix of requests like that of a deployment to the entry instances, retries
// and polls as their callers do, and checks the invariants against the histories of the workers.
#include <algorithm>
#include <boost/program_options.hpp>
#include <condition_variable>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

#include "citronsill/codec.h"
#include "citronsill/http.h"
#include "citronsill/ledger.h"
#include "citronsill/timer.h"
#include "history_check.h"
#include "schema/citronsill.pb.h"

namespace options = boost::program_options;

namespace citronsill {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallerRetryPeriod{250};
constexpr milliseconds kPollPeriod{500};

// One kind of request in the mix.
struct WorkKind {
  std::string work_class;
  double weight = 0.0;  // Share of the requests, in percent.
  milliseconds run_time{0};
  milliseconds deadline{0};
  bool idempotent = true;
  bool exclusive = false;
  bool no_wait = false;
  std::uint32_t task_count = 1;
};

std::vector<WorkKind> WorkloadOf(const std::string& deployment) {
  if (deployment == "shipyard") {
    return {{"cut-list", 65, milliseconds(60), milliseconds(4000)},
            {"lashing-check", 20, milliseconds(200), milliseconds(8000), false, true},
            {"hull-fairing", 15, milliseconds(1000), milliseconds(60000), true, false, true}};
  }
  return {{"quick-quote", 70, milliseconds(50), milliseconds(4000)},
          {"order", 15, milliseconds(80), milliseconds(8000), false},
          {"fitting-batch", 10, milliseconds(300), milliseconds(20000), true, true},
          {"forge-plan", 5, milliseconds(800), milliseconds(60000), true, false, true, 2}};
}

// Settings of a run.
struct LoadOptions {
  std::vector<std::string> entries;
  std::string platform;  // IP:port of the platform stand-in.
  std::string deployment;
  std::string prefix;
  double rate = 50.0;  // Requests per second.
  double straggler_share = 0.01;
  double straggler_factor = 20.0;
  std::chrono::seconds duration{10};
  std::chrono::seconds settle{40};  // Longest wait for the last outcomes.
  std::uint64_t seed = 1;
  bool check = true;
};

// State of one request of a caller, from the first try to the outcome.
struct CallerRequest {
  WorkKind kind;
  schema::Request request;
  std::string id;
  SteadyTime begin;
  SteadyTime answered;
  int tries = 0;
  bool is_final = false;
  bool accepted = false;
  bool unknown = false;  // An answer left the outcome open (CODE_OUTCOME_UNKNOWN).
  schema::Answer answer;
  std::string last_seen;  // Last answer to a poll, as JSON; "no answer" when there was none.
};

class Load {
 public:
  Load(Runtime& runtime, TimerService& timers, LoadOptions load_options)
      : m_runtime(runtime),
        m_timers(timers),
        m_options(std::move(load_options)),
        m_random(m_options.seed) {}

  Result<void> Connect() {
    for (const std::string& entry : m_options.entries) {
      HttpClientOptions client_options;
      client_options.address = entry;
      client_options.max_connections = 256;
      client_options.max_waiting = 100000;
      BOOST_OUTCOME_TRY(auto client, HttpClient::Create(m_runtime, client_options));
      m_clients.push_back(std::move(client));
    }
    return Success();
  }

  void Run() {
    const SteadyTime begin = std::chrono::steady_clock::now();
    std::exponential_distribution<double> gap(m_options.rate);
    SteadyTime next = begin;
    while (next < begin + m_options.duration) {
      std::this_thread::sleep_until(next);
      Send(MakeRequest());
      next += std::chrono::duration_cast<SteadyTime::duration>(
          std::chrono::duration<double>(gap(m_random)));
    }
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, m_options.settle, [this] { return m_unfinished == 0; });
  }

  nlohmann::json Summary() {
    std::lock_guard lock(m_mutex);
    nlohmann::json summary;
    std::map<std::string, std::vector<double>> latencies;
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t retries = 0;
    for (const auto& caller : m_callers) {
      const std::string outcome =
          caller->is_final ? std::string(CodeName(caller->answer.code())) : "NO_OUTCOME";
      ++outcomes[caller->kind.work_class + "." + outcome];
      retries += static_cast<std::uint64_t>(caller->tries - 1);
      if (!caller->is_final) {
        summary["open"].push_back({{"id", caller->id},
                                   {"class", caller->kind.work_class},
                                   {"accepted", caller->accepted},
                                   {"tries", caller->tries},
                                   {"last_seen", caller->last_seen}});
      }
      if (caller->answer.code() != schema::CODE_OK || !caller->is_final) continue;
      latencies[caller->kind.work_class].push_back(
          std::chrono::duration<double, std::milli>(caller->answered - caller->begin).count());
    }
    for (auto& [work_class, values] : latencies) {
      std::sort(values.begin(), values.end());
      summary["latency_ms"][work_class] = {{"p50", values[values.size() / 2]},
                                           {"p99", values[values.size() * 99 / 100]},
                                           {"max", values.back()}};
    }
    summary["sent"] = m_callers.size();
    summary["without_outcome"] = m_unfinished;
    summary["retries"] = retries;
    summary["outcomes"] = outcomes;
    return summary;
  }

  std::vector<CallerRecord> Records() {
    std::lock_guard lock(m_mutex);
    std::vector<CallerRecord> records;
    for (const auto& caller : m_callers) {
      CallerRecord record;
      record.request = caller->id;
      record.work_class = caller->kind.work_class;
      record.payload = caller->request.payload();
      record.task_count = caller->kind.task_count;
      record.idempotent = caller->kind.idempotent;
      record.exclusive = caller->kind.exclusive;
      record.accepted = caller->accepted;
      record.final = caller->is_final;
      record.succeeded = caller->is_final && caller->answer.code() == schema::CODE_OK;
      record.not_run = caller->is_final && caller->answer.not_run();
      record.results.assign(caller->answer.results().begin(), caller->answer.results().end());
      records.push_back(std::move(record));
    }
    return records;
  }

 private:
  std::shared_ptr<CallerRequest> MakeRequest() {
    const std::vector<WorkKind> mix = WorkloadOf(m_options.deployment);
    std::vector<double> weights;
    weights.reserve(mix.size());
    for (const WorkKind& kind : mix) weights.push_back(kind.weight);
    std::discrete_distribution<std::size_t> choose(weights.begin(), weights.end());
    std::lognormal_distribution<double> spread(0.0, 0.3);
    std::bernoulli_distribution is_straggler(m_options.straggler_share);
    auto caller = std::make_shared<CallerRequest>();
    caller->kind = mix[choose(m_random)];
    const double factor =
        spread(m_random) * (is_straggler(m_random) ? m_options.straggler_factor : 1.0);
    const milliseconds run_time(
        static_cast<std::int64_t>(static_cast<double>(caller->kind.run_time.count()) * factor));
    schema::Request& request = caller->request;
    request.set_work_class(caller->kind.work_class);
    request.set_team("team-" + std::to_string(m_random() % 4));
    request.set_key(m_options.prefix + "-" + std::to_string(++m_last_key_number));
    request.set_payload("item " + std::to_string(m_last_key_number));
    request.set_task_count(caller->kind.task_count);
    request.set_all_at_once(caller->kind.task_count > 1);
    request.set_no_wait(caller->kind.no_wait);
    SetDuration(run_time, request.mutable_run_time());
    SetDuration(caller->kind.deadline, request.mutable_deadline());
    caller->id = RequestIdOf(request.team(), request.key());
    caller->begin = std::chrono::steady_clock::now();
    std::lock_guard lock(m_mutex);
    m_callers.push_back(caller);
    ++m_unfinished;
    return caller;
  }

  HttpClient& RandomClient() {
    std::lock_guard lock(m_mutex);
    return *m_clients[m_random() % m_clients.size()];
  }

  void Send(const std::shared_ptr<CallerRequest>& caller) {
    ++caller->tries;
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/requests";
    request.body = ToJson(caller->request);
    RandomClient().Send(
        request, caller->kind.deadline + milliseconds(1000),
        [this, caller](const Result<HttpResponse>& response) { OnAnswer(caller, response); });
  }

  void Poll(const std::shared_ptr<CallerRequest>& caller) {
    HttpRequest request;
    request.target = "/v1/requests/" + caller->id;
    RandomClient().Send(
        request, milliseconds(3000),
        [this, caller](const Result<HttpResponse>& response) { OnPollAnswer(caller, response); });
  }

  // A caller without a usable answer retries with the same key at any instance.
  void OnAnswer(const std::shared_ptr<CallerRequest>& caller,
                const Result<HttpResponse>& response) {
    schema::Answer answer;
    const bool is_parsed =
        response && FromJson(response.value().body, UnknownFields::kIgnore, &answer).has_value();
    if (!is_parsed || answer.code() == schema::CODE_DRAINING) {
      m_timers.After(kCallerRetryPeriod, [this, caller](SteadyTime) { Send(caller); });
      return;
    }
    if (answer.code() == schema::CODE_OUTCOME_UNKNOWN && answer.state() == schema::STATE_UNKNOWN) {
      caller->unknown = true;
      return PollLater(caller);
    }
    const bool is_pending =
        answer.state() == schema::STATE_WAITING || answer.state() == schema::STATE_RUNNING;
    if (answer.code() == schema::CODE_OK && is_pending) {
      caller->accepted = true;
      return PollLater(caller);
    }
    Finish(caller, answer);
  }

  void OnPollAnswer(const std::shared_ptr<CallerRequest>& caller,
                    const Result<HttpResponse>& response) {
    schema::Answer answer;
    const bool is_parsed =
        response && FromJson(response.value().body, UnknownFields::kIgnore, &answer).has_value();
    const bool is_final =
        is_parsed &&
        (answer.state() == schema::STATE_SUCCEEDED || answer.state() == schema::STATE_FAILED ||
         answer.state() == schema::STATE_CANCELLED ||
         (answer.state() == schema::STATE_REFUSED && !answer.id().empty()));
    if (is_final) return Finish(caller, answer);
    {
      std::lock_guard lock(m_mutex);
      caller->last_seen = is_parsed ? ToJson(answer) : "no answer";
    }
    // A request that the cell does not know is sent again; its key prevents it from running twice.
    const bool is_unknown = is_parsed && answer.code() == schema::CODE_NOT_FOUND;
    if (is_unknown && !caller->accepted) return Send(caller);
    PollLater(caller);
  }

  void PollLater(const std::shared_ptr<CallerRequest>& caller) {
    m_timers.After(kPollPeriod, [this, caller](SteadyTime) { Poll(caller); });
  }

  void Finish(const std::shared_ptr<CallerRequest>& caller, const schema::Answer& answer) {
    std::lock_guard lock(m_mutex);
    if (caller->is_final) return;
    caller->is_final = true;
    caller->answer = answer;
    caller->answered = std::chrono::steady_clock::now();
    --m_unfinished;
    m_changed.notify_all();
  }

  Runtime& m_runtime;
  TimerService& m_timers;
  LoadOptions m_options;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<HttpClient>> m_clients;
  std::vector<std::shared_ptr<CallerRequest>> m_callers;
  std::size_t m_unfinished = 0;
  std::uint64_t m_last_key_number = 0;
};

// Sends a GET request and waits for the response. Returns its body.
Result<std::string> Get(Runtime& runtime, const std::string& address, const std::string& target) {
  HttpClientOptions client_options;
  client_options.address = address;
  BOOST_OUTCOME_TRY(auto client, HttpClient::Create(runtime, client_options));
  std::mutex mutex;
  std::condition_variable changed;
  std::optional<Result<HttpResponse>> result;
  HttpRequest request;
  request.target = target;
  client->Send(request, std::chrono::seconds(20), [&](Result<HttpResponse> response) {
    std::lock_guard lock(mutex);
    result.emplace(std::move(response));
    changed.notify_all();
  });
  std::unique_lock lock(mutex);
  changed.wait(lock, [&] { return result.has_value(); });
  if (!*result) return result->error();
  return result->value().body;
}

// Reads the histories of all workers. Adds a line to `violations` for each start over capacity.
Result<std::vector<HistoryEvent>> ReadHistories(Runtime& runtime, const std::string& platform,
                                                std::vector<std::string>& violations) {
  BOOST_OUTCOME_TRY(const std::string list, Get(runtime, platform, "/directory"));
  schema::Directory directory;
  BOOST_OUTCOME_TRY(FromJson(list, UnknownFields::kIgnore, &directory));
  std::vector<HistoryEvent> events;
  for (const schema::DirectoryEntry& worker : directory.workers()) {
    BOOST_OUTCOME_TRY(const std::string body, Get(runtime, worker.address(), "/history"));
    const nlohmann::json history = nlohmann::json::parse(body);
    if (history["over_capacity"].get<std::uint64_t>() > 0) {
      violations.push_back(
          worker.id() + ": received starts over its capacity: " + history["over_capacity"].dump());
    }
    for (const nlohmann::json& event : history["events"]) {
      events.push_back({event["at_us"].get<std::int64_t>(), worker.id(),
                        event["request"].get<std::string>(), event["index"].get<std::uint32_t>(),
                        event["attempt"].get<std::uint32_t>(), event["started"].get<bool>()});
    }
  }
  return events;
}

int Execute(const LoadOptions& load_options) {
  auto runtime = Runtime::Create(4);
  auto timers = TimerService::Create(*runtime.value());
  Load load(*runtime.value(), *timers.value(), load_options);
  if (auto connected = load.Connect(); !connected) {
    std::cerr << Describe(connected.error()) << '\n';
    return 2;
  }
  runtime.value()->Start();
  load.Run();
  nlohmann::json summary = load.Summary();
  std::vector<std::string> violations;
  if (load_options.check) {
    auto events = ReadHistories(*runtime.value(), load_options.platform, violations);
    if (!events) {
      std::cerr << Describe(events.error()) << '\n';
      return 2;
    }
    for (std::string& line : CheckHistory(events.value(), load.Records())) {
      violations.push_back(std::move(line));
    }
    summary["starts"] = std::count_if(events.value().begin(), events.value().end(),
                                      [](const HistoryEvent& event) { return event.started; });
  }
  summary["violations"] = violations;
  std::cout << summary.dump(2) << '\n';
  runtime.value()->Stop();
  return violations.empty() ? 0 : 1;
}

}  // namespace
}  // namespace citronsill

int main(int argc, char** argv) {
  citronsill::LoadOptions load_options;
  std::string entries;
  long duration = 0;
  long settle = 0;
  options::options_description description(
      "citronsill_load: generates a mixed load and checks the invariants\n"
      "exit codes: 0 all invariants hold, 1 an invariant was violated, 2 the run failed");
  auto add = description.add_options();
  add("help", "show this text");
  add("entries", options::value(&entries)->required(), "IP:port[,IP:port...] of entry instances");
  add("platform", options::value(&load_options.platform)->required(),
      "IP:port of the platform stand-in");
  add("deployment", options::value(&load_options.deployment)->default_value("horseshoe"),
      "horseshoe or shipyard");
  add("prefix", options::value(&load_options.prefix)->default_value("load"),
      "prefix of the idempotency keys");
  add("rate", options::value(&load_options.rate)->default_value(50), "requests per second");
  add("seconds", options::value(&duration)->default_value(10), "duration of sending, in seconds");
  add("settle", options::value(&settle)->default_value(40),
      "longest wait for the last outcomes, in seconds");
  add("stragglers", options::value(&load_options.straggler_share)->default_value(0.01),
      "share of requests with a much longer run time, 0 to 1");
  add("seed", options::value(&load_options.seed)->default_value(1), "seed of the random numbers");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description), values);
    if (values.contains("help")) {
      std::cout << description;
      return 0;
    }
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "citronsill_load: " << error.what() << '\n';
    return 2;
  }
  load_options.duration = std::chrono::seconds(duration);
  load_options.settle = std::chrono::seconds(settle);
  std::stringstream list(entries);
  for (std::string entry; std::getline(list, entry, ',');) load_options.entries.push_back(entry);
  return citronsill::Execute(load_options);
}
