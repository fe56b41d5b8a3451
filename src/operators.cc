#include "citronsill/operators.h"

#include <nlohmann/json.hpp>

#include "citronsill/api.h"
#include "citronsill/log.h"
#include "citronsill/report.h"
#include "internal.h"

namespace citronsill {
namespace {

// A full outage reaches the burn rates of the fast alert after 36 s. Evaluating the alerts this
// often adds less than half of that to its detection.
constexpr std::chrono::milliseconds kAlertPeriod{15000};
constexpr std::chrono::milliseconds kRecordsTickPeriod{500};

SteadyTime Now() { return std::chrono::steady_clock::now(); }

std::int64_t NowUnixMs() { return UnixMilliseconds(std::chrono::system_clock::now()); }

HttpResponse MakeResponse(const std::string& body, const char* content_type) {
  HttpResponse response;
  response.content_type = content_type;
  response.body = body;
  return response;
}

// @returns the format of a report, for example "text", "json" or "html": from `?format=`, else from
// the Accept header.
std::string ReportFormat(const HttpRequest& request) {
  const std::size_t position = request.target.find("format=");
  if (position != std::string::npos) {
    const std::string value = request.target.substr(position + 7);
    return value.substr(0, value.find('&'));
  }
  if (request.accept.find("text/html") != std::string::npos) return "html";
  if (request.accept.find("application/json") != std::string::npos) return "json";
  return "text";
}

// Embeds the content of each record as JSON, not as a string that contains JSON.
std::string ViewToJson(const schema::RecordsView& view) {
  using Json = nlohmann::ordered_json;
  Json json = Json::parse(ToJson(view));
  for (auto& record : json["records"]) {
    record["content"] = Json::parse(record["content"].get<std::string>(), nullptr, false);
  }
  return json.dump();
}

}  // namespace

struct Operators::Impl : std::enable_shared_from_this<Impl> {
  Impl(TimerService& timer_service, Metrics& process_metrics, OperatorsOptions operators_options,
       OperatorsHooks operators_hooks)
      : timers(timer_service),
        metrics(process_metrics),
        options(std::move(operators_options)),
        hooks(std::move(operators_hooks)) {}

  TimerService& timers;
  Metrics& metrics;
  OperatorsOptions options;
  OperatorsHooks hooks;
  std::unique_ptr<Records> records;
  AnswerCounts counts;
  std::vector<TimerId> subscriptions;
  std::mutex alert_mutex;
  AlertRules alerts;

  Result<void> BuildRecords(Table& table) {
    RecordsOptions record_options;
    record_options.instance = options.instance;
    RecordsHooks record_hooks;
    record_hooks.fetch = [this](const std::string& address, std::uint64_t above,
                                std::function<void(Result<schema::RecordSet>)> done) {
      schema::RecordsQuery query;
      query.set_above(above);
      hooks.call(address, "records", ToJson(query), [done](const Result<std::string>& json) {
        if (!json) return done(json.error());
        schema::RecordSet set;
        auto parsed = FromJson(json.value(), UnknownFields::kIgnore, &set);
        if (!parsed) return done(parsed.error());
        done(std::move(set));
      });
    };
    record_hooks.push = [this](const schema::RecordSet& set) { Push(set); };
    record_hooks.on_change = [this] {
      spdlog::info("event=records_in_force revision={}", records->Revision().revision());
      if (hooks.on_records) hooks.on_records();
    };
    record_hooks.unix_ms = NowUnixMs;
    BOOST_OUTCOME_TRY(records, Records::Create(table, record_options, std::move(record_hooks)));
    return Success();
  }

  void Push(const schema::RecordSet& set) {
    schema::RecordsQuery query;
    query.set_above(set.revision());
    *query.mutable_push() = set;
    query.mutable_push()->set_sender_address(options.peer_address);
    const std::string message = ToJson(query);
    for (const ExpectedInstance& peer : hooks.peers()) {
      // A lost push needs no retry, because gossip and reads of the table make up for it.
      hooks.call(peer.address, "records", message, [](const Result<std::string>&) {});
    }
  }

  schema::ReportPart MakePart() const {
    const EngineStats stats = hooks.stats();
    const schema::InstanceRevision revision = records->Revision();
    schema::ReportPart part;
    part.set_instance(options.instance);
    part.set_as_of_unix_ms(NowUnixMs());
    counts.FillReportPart(Now(), &part);
    part.set_waiting(stats.waiting_jobs);
    part.set_running(stats.running_tasks);
    part.set_workers(static_cast<std::uint32_t>(stats.workers));
    part.set_quarantined(static_cast<std::uint32_t>(stats.quarantined));
    part.set_table_up(hooks.is_table_up());
    part.set_draining(hooks.is_draining());
    part.set_record_revision(revision.revision());
    part.set_record_since_unix_ms(revision.since_unix_ms());
    part.set_record_source(revision.source());
    return part;
  }

  // Collects the parts of all instances. Every call has a deadline, so that the report lacks only
  // the parts of unresponsive instances.
  void Gather(std::function<void(const ReportInput&)> done) {
    struct Gathering {
      std::mutex mutex;
      ReportInput input;
      std::size_t outstanding = 1;
      std::function<void(const ReportInput&)> done;

      void FinishOne() {
        std::unique_lock lock(mutex);
        if (--outstanding > 0) return;
        input.now_unix_ms = NowUnixMs();
        lock.unlock();
        done(input);
      }
    };
    auto gathering = std::make_shared<Gathering>();
    gathering->done = std::move(done);
    gathering->input.parts.push_back(MakePart());
    gathering->input.expected.push_back(options.instance);
    gathering->input.listed_workers = hooks.listed_workers();
    const std::vector<ExpectedInstance> peers = hooks.peers();
    gathering->outstanding += peers.size();
    for (const ExpectedInstance& peer : peers) gathering->input.expected.push_back(peer.id);
    for (const ExpectedInstance& peer : peers) {
      hooks.call(peer.address, "report", "{}", [gathering](const Result<std::string>& json) {
        schema::ReportPart part;
        if (json && FromJson(json.value(), UnknownFields::kIgnore, &part)) {
          std::lock_guard lock(gathering->mutex);
          gathering->input.parts.push_back(std::move(part));
        }
        gathering->FinishOne();
      });
    }
    gathering->FinishOne();
  }

  void MakeReport(std::function<void(const schema::Report&)> done) {
    Gather([self = shared_from_this(), done = std::move(done)](const ReportInput& input) {
      schema::Report report = BuildReport(input);
      {
        std::lock_guard lock(self->alert_mutex);
        for (const std::string& change : self->alerts.Update(&report)) {
          spdlog::warn("event=alert change={}", LogText(change));
        }
      }
      done(report);
    });
  }

  void HandleReport(const HttpRequest& request, const HttpReply& reply) {
    const std::string format = ReportFormat(request);
    MakeReport([reply, format, cell = options.cell](const schema::Report& report) {
      if (format == "json") return reply(MakeResponse(ToJson(report), "application/json"));
      if (format == "html")
        return reply(MakeResponse(ReportHtml(cell, report), "text/html; charset=utf-8"));
      reply(MakeResponse(ReportText(cell, report), "text/plain; charset=utf-8"));
    });
  }

  void HandleRecords(const HttpReply& reply) {
    Gather([self = shared_from_this(), reply](const ReportInput& input) {
      schema::RecordsView view;
      view.set_revision(self->records->Revision().revision());
      view.set_as_of_unix_ms(input.now_unix_ms);
      for (schema::StoredRecord& record : self->records->All()) {
        *view.add_records() = std::move(record);
      }
      *view.mutable_instances() = BuildReport(input).revisions();
      reply(MakeResponse(ViewToJson(view), "application/json"));
    });
  }

  void HandleApply(const HttpRequest& request, const std::string& key_name,
                   const HttpReply& reply) {
    auto apply = ParseApply(request.body);
    if (!apply) return reply(ToResponse(apply.error(), false));
    spdlog::info("event=apply_received apply_id={} author={} key={}",
                 LogText(apply.value().apply_id()), LogText(apply.value().author()),
                 LogText(key_name));
    records->Apply(apply.value(), [reply](const schema::ApplyResult& result) {
      HttpResponse response = MakeResponse(ToJson(result), "application/json");
      response.status = HttpStatus(result.code());
      reply(response);
    });
  }

  void HandleLogLevel(const HttpRequest& request, const std::string& key_name,
                      const HttpReply& reply) {
    schema::LogLevel level;
    auto checked = FromJson(request.body, UnknownFields::kReject, &level);
    if (checked) checked = SetLogLevel(level.level());
    if (!checked) return reply(ToResponse(checked.error(), false));
    spdlog::info("event=log_level level={} key={}", level.level(), LogText(key_name));
    reply(MakeResponse(ToJson(level), "application/json"));
  }

  void HandleMetrics(const HttpReply& reply) {
    const EngineStats stats = hooks.stats();
    metrics.SetGauge("waiting_jobs", static_cast<double>(stats.waiting_jobs));
    metrics.SetGauge("running_tasks", static_cast<double>(stats.running_tasks));
    metrics.SetGauge("owned_workers", static_cast<double>(stats.workers));
    metrics.SetGauge("quarantined_workers", static_cast<double>(stats.quarantined));
    metrics.SetGauge("free_slots", static_cast<double>(stats.free_slots));
    metrics.SetGauge("table_up", hooks.is_table_up() ? 1.0 : 0.0);
    metrics.SetGauge("record_revision", static_cast<double>(records->Revision().revision()));
    reply(MakeResponse(metrics.Text(), "text/plain; version=0.0.4; charset=utf-8"));
  }
};

Result<std::unique_ptr<Operators>> Operators::Create(TimerService& timers, Table& table,
                                                     Metrics& metrics,
                                                     const OperatorsOptions& options,
                                                     OperatorsHooks hooks) {
  auto impl = std::make_shared<Impl>(timers, metrics, options, std::move(hooks));
  BOOST_OUTCOME_TRY(impl->BuildRecords(table));
  return std::unique_ptr<Operators>(new Operators(std::move(impl)));
}

Operators::Operators(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

Operators::~Operators() {
  for (const TimerId id : m_impl->subscriptions) m_impl->timers.Cancel(id);
}

void Operators::Register(PeerServer& server) {
  server.Handle("records", [impl = m_impl](const std::string& params) -> Result<std::string> {
    schema::RecordsQuery query;
    BOOST_OUTCOME_TRY(FromJson(params, UnknownFields::kIgnore, &query));
    if (query.has_push()) impl->records->Merge(query.push(), "peer", Now());
    return ToJson(impl->records->RecordsAbove(query.above()));
  });
  server.Handle("report", [impl = m_impl](const std::string&) -> Result<std::string> {
    return ToJson(impl->MakePart());
  });
}

void Operators::Start() {
  const auto every = [this](std::chrono::milliseconds period, std::function<void(Impl&)> work) {
    m_impl->subscriptions.push_back(
        m_impl->timers.Every(period, [weak = std::weak_ptr<Impl>(m_impl), work](SteadyTime) {
          if (auto impl = weak.lock()) work(*impl);
        }));
  };
  every(kRecordsTickPeriod, [](Impl& impl) { impl.records->Tick(Now()); });
  every(kAlertPeriod, [](Impl& impl) { impl.MakeReport([](const schema::Report&) {}); });
  m_impl->records->Tick(Now());
}

bool Operators::Handle(const HttpRequest& request, const std::string& key_name,
                       const HttpReply& reply) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/metrics" && request.method == "GET") {
    m_impl->HandleMetrics(reply);
  } else if (path == "/v1/report" && request.method == "GET") {
    m_impl->HandleReport(request, reply);
  } else if (path == "/v1/records" && request.method == "GET") {
    m_impl->HandleRecords(reply);
  } else if (path == "/v1/records" && request.method == "POST") {
    m_impl->HandleApply(request, key_name, reply);
  } else if (path == "/v1/log-level" && request.method == "PUT") {
    m_impl->HandleLogLevel(request, key_name, reply);
  } else {
    return false;
  }
  return true;
}

void Operators::OnAnswer(const std::string& work_class, schema::Code code,
                         std::chrono::steady_clock::duration elapsed) {
  m_impl->counts.Count(m_impl->metrics.ClassLabel(work_class), code, Now());
  m_impl->metrics.CountRequest(work_class, code, elapsed);
}

Records& Operators::GetRecords() { return *m_impl->records; }

}  // namespace citronsill
