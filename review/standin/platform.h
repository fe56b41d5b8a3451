/// Stand-ins of the platform for the review cases: the metadata store, workers and a record of what
/// was sent, answered and run. They follow PROTOCOL.md; errors that it leaves open are answered
/// with status 400.
#pragma once

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <deque>
#include <fstream>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "net.h"

namespace review {

namespace json = boost::json;

inline SteadyTime Now() { return std::chrono::steady_clock::now(); }

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Writes record.txt: one line for each event, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : m_out(path), m_start(Now()) {}

  [[nodiscard]] std::int64_t Ms() const {
    return std::chrono::duration_cast<milliseconds>(Now() - m_start).count();
  }

  void Line(const std::string& text) { m_out << Ms() << " " << text << std::endl; }

  /// Records a broken rule.
  void Broken(const std::string& rule, const std::string& what) {
    ++m_broken;
    Line("BROKEN " + rule + ": " + what);
  }

  [[nodiscard]] int BrokenCount() const { return m_broken; }

 private:
  std::ofstream m_out;
  SteadyTime m_start;
  int m_broken = 0;
};

inline std::string Text(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

inline std::int64_t Integer(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) return 0;
  if (value->is_int64()) return value->get_int64();
  if (value->is_uint64()) return static_cast<std::int64_t>(value->get_uint64());
  return 0;
}

inline std::string EncodeBase64(const std::string& bytes) {
  static const std::string digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text += i + k > bytes.size() ? '=' : digits[group >> (18U - 6U * k) & 63U];
    }
  }
  return text;
}

/// @returns the number of bytes that a Base64 text stands for.
inline std::size_t DecodedSize(const std::string& text) {
  const auto end = text.find_last_not_of('=');
  return end == std::string::npos ? 0 : (end + 1) * 3 / 4;
}

inline std::string PercentDecode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

inline std::string Parameter(const std::string& target, const std::string& name) {
  const auto mark = target.find('?');
  const std::string query = mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
  const auto at = query.find("&" + name + "=");
  if (at == std::string::npos) return "";
  const auto from = at + name.size() + 2;
  return PercentDecode(query.substr(from, query.find('&', from) - from));
}

/// The metadata store. Each instance reaches it through a server of its own, so that single
/// instances can be cut off from it.
class Store {
 public:
  static constexpr std::size_t kRowBytes = 65536;
  static constexpr std::size_t kMaxEntries = 100;
  static constexpr std::size_t kMaxBodyBytes = 1'000'000;

  Store(asio::io_context& io, Record& record) : m_io(io), m_record(record) {}

  /// Creates the server for one instance.
  std::size_t AddAccess() {
    const std::size_t number = m_access.size();
    m_access.push_back(std::make_unique<Access>());
    m_access.back()->server =
        std::make_unique<Server>(m_io, [this, number](const Request& request, const Reply& reply) {
          if (m_access[number]->is_cut) return;
          Handle(request, [this, number, reply](unsigned status, std::string body) {
            if (!m_access[number]->is_cut) reply(status, std::move(body));
          });
        });
    return number;
  }

  [[nodiscard]] std::uint16_t Port(std::size_t access) const {
    return m_access[access]->server->Port();
  }

  /// While cut, calls of this instance are neither carried out nor answered.
  void SetCut(std::size_t access, bool is_cut) { m_access[access]->is_cut = is_cut; }

  /// Writes a row on behalf of the operator or of a worker.
  void Put(const std::string& table, const std::string& key, const std::string& value) {
    ++m_version;
    Write({table, "", key}, EncodeBase64(value));
    AnswerFeeds();
  }

  void Remove(const std::string& table, const std::string& key) {
    ++m_version;
    Erase({table, "", key});
    AnswerFeeds();
  }

  /// Transactions that were refused because they exceed a limit of the store.
  [[nodiscard]] int OverLimit() const { return m_over_limit; }
  [[nodiscard]] std::size_t LargestRow() const { return m_largest_row; }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  struct Change {
    std::uint64_t version;
    Key key;
  };
  struct Access {
    std::unique_ptr<Server> server;
    bool is_cut = false;
  };
  struct Feed {
    std::string table;
    std::uint64_t after;
    SteadyTime until;
    Reply reply;
  };

  void Write(const Key& key, std::string value) {
    m_rows[key] = {std::move(value), m_version};
    m_changes.push_back({m_version, key});
  }

  void Erase(const Key& key) {
    if (m_rows.erase(key) > 0) m_changes.push_back({m_version, key});
  }

  static json::object Encode(const Key& key, const Row* row, std::uint64_t version) {
    json::object out;
    out["table"] = std::get<0>(key);
    out["part"] = std::get<1>(key);
    out["key"] = std::get<2>(key);
    out["ver"] = version;
    if (row != nullptr) {
      out["value"] = row->value;
    } else {
      out["removed"] = true;
    }
    return out;
  }

  [[nodiscard]] json::object Page(json::array rows) const {
    json::object page;
    page["rows"] = std::move(rows);
    page["ver"] = m_version;
    page["nowMs"] = m_record.Ms();
    return page;
  }

  void ReplyLater(const Reply& reply, unsigned status, std::string body) {
    auto timer = std::make_shared<asio::steady_timer>(m_io, kLatency);
    timer->async_wait([timer, reply, status, body = std::move(body)](error_code error) {
      if (!error) reply(status, body);
    });
  }

  void Handle(const Request& request, const Reply& reply) {
    if (request.target == "/api/rows-tx") return Transact(request, reply);
    if (request.target.starts_with("/api/rows-get")) return Read(request, reply);
    if (request.target.starts_with("/api/rows-feed")) return Follow(request, reply);
    ReplyLater(reply, 404, "{}");
  }

  static Key KeyOf(const json::object& row) {
    return {Text(row, "table"), Text(row, "part"), Text(row, "key")};
  }

  void Transact(const Request& request, const Reply& reply) {
    json::object body;
    try {
      body = json::parse(request.body).as_object();
    } catch (const std::exception&) {
      return ReplyLater(reply, 400, "{}");
    }
    const auto list = [&body](const char* name) {
      const json::value* value = body.if_contains(name);
      return value != nullptr && value->is_array() ? value->get_array() : json::array{};
    };
    const json::array expect = list("expect");
    const json::array writes = list("writes");
    const json::array removals = list("remove");
    bool is_over = expect.size() + writes.size() + removals.size() > kMaxEntries ||
                   request.body.size() > kMaxBodyBytes;
    for (const json::value& value : writes) {
      const std::size_t size = DecodedSize(Text(value.as_object(), "value"));
      m_largest_row = std::max(m_largest_row, size);
      if (size <= kRowBytes) continue;
      if (!is_over && ++m_over_limit <= kMaxReports) {
        m_record.Line("store refuses a row of " + std::to_string(size) + " bytes in table " +
                      Text(value.as_object(), "table"));
      }
      is_over = true;
    }
    if (is_over) return ReplyLater(reply, 400, R"({"error":"over a limit"})");
    json::array current;
    bool holds = true;
    for (const json::value& value : expect) {
      const Key key = KeyOf(value.as_object());
      const auto found = m_rows.find(key);
      const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
      if (static_cast<std::uint64_t>(Integer(value.as_object(), "ver")) != version) holds = false;
      if (found != m_rows.end()) current.push_back(Encode(key, &found->second, version));
    }
    if (!holds) return ReplyLater(reply, 412, json::serialize(Page(std::move(current))));
    ++m_version;
    for (const json::value& value : writes) {
      Write(KeyOf(value.as_object()), Text(value.as_object(), "value"));
    }
    for (const json::value& value : removals) Erase(KeyOf(value.as_object()));
    ReplyLater(reply, 200, json::serialize(Page({})));
    AnswerFeeds();
  }

  void Read(const Request& request, const Reply& reply) {
    const std::string table = Parameter(request.target, "table");
    const std::string part = Parameter(request.target, "part");
    const std::string from = Parameter(request.target, "from");
    const std::string until = Parameter(request.target, "target");
    const std::string limit_text = Parameter(request.target, "limit");
    const std::size_t limit =
        std::min<std::size_t>(limit_text.empty() ? 500 : std::stoul(limit_text), 500);
    json::array rows;
    bool truncated = false;
    for (auto row = m_rows.lower_bound({table, part, from}); row != m_rows.end(); ++row) {
      const auto& [row_table, row_part, row_key] = row->first;
      if (row_table != table || row_part != part || (!until.empty() && row_key >= until)) break;
      if (rows.size() >= limit) {
        truncated = true;
        break;
      }
      rows.push_back(Encode(row->first, &row->second, row->second.version));
    }
    json::object page = Page(std::move(rows));
    page["truncated"] = truncated;
    ReplyLater(reply, 200, json::serialize(page));
  }

  void Follow(const Request& request, const Reply& reply) {
    const milliseconds wait(std::stoll("0" + Parameter(request.target, "waitMs")));
    m_feeds.push_back({Parameter(request.target, "table"),
                       std::stoull("0" + Parameter(request.target, "after")), Now() + wait, reply});
    AnswerFeeds();
    auto timer = std::make_shared<asio::steady_timer>(m_io, wait + milliseconds(1));
    timer->async_wait([this, timer](error_code error) {
      if (!error) AnswerFeeds();
    });
  }

  void AnswerFeeds() {
    for (auto feed = m_feeds.begin(); feed != m_feeds.end();) {
      std::map<Key, std::uint64_t> changed;
      for (auto change = m_changes.rbegin();
           change != m_changes.rend() && change->version > feed->after; ++change) {
        if (std::get<0>(change->key) == feed->table) {
          changed.try_emplace(change->key, change->version);
        }
      }
      if (changed.empty() && Now() < feed->until) {
        ++feed;
        continue;
      }
      std::vector<std::pair<std::uint64_t, Key>> order;
      for (const auto& [key, version] : changed) order.emplace_back(version, key);
      std::sort(order.begin(), order.end());
      json::array rows;
      for (const auto& [version, key] : order) {
        const auto found = m_rows.find(key);
        rows.push_back(Encode(key, found == m_rows.end() ? nullptr : &found->second, version));
      }
      feed->reply(200, json::serialize(Page(std::move(rows))));
      feed = m_feeds.erase(feed);
    }
  }

  static constexpr milliseconds kLatency{5};
  static constexpr int kMaxReports = 5;

  asio::io_context& m_io;
  Record& m_record;
  std::vector<std::unique_ptr<Access>> m_access;
  std::map<Key, Row> m_rows;
  std::deque<Change> m_changes;
  std::list<Feed> m_feeds;
  std::uint64_t m_version = 0;
  std::size_t m_largest_row = 0;
  int m_over_limit = 0;
};

/// What a task takes and does.
struct TaskModel {
  std::int64_t cpu = 0;
  std::int64_t mem_mb = 0;
  milliseconds work{0};
  bool checkpoints = false;
  std::string required_label;
};

class Worker;

/// All runs of all workers, to check the rules on them.
class Runs {
 public:
  explicit Runs(Record& record) : m_record(record) {}

  std::map<std::string, TaskModel> models;  ///< By ID.OCCURRENCE.STEP prefix or ID.

  /// @param task name of a task: ID.OCCURRENCE.STEP.INDEX.
  [[nodiscard]] const TaskModel* ModelOf(const std::string& task) const {
    const auto found = models.find(task.substr(0, task.find('.')));
    return found == models.end() ? nullptr : &found->second;
  }

  struct Live {
    const Worker* worker;
    std::uint64_t run;
  };

  std::map<std::string, std::vector<Live>> live;  ///< Runs at present, by task.
  std::map<std::string, int> done;                ///< Ends as done, by task.
  std::map<std::string, SteadyTime> last_over;    ///< When a run of the job last ended, by job.
  std::map<std::string, int> running_of_job;
  std::map<std::string, int> ends;  ///< By how they ended.
  std::size_t starts = 0;

  Record& record() { return m_record; }

 private:
  Record& m_record;
};

/// One worker: a process that is started, killed and started again on the same address.
class Worker {
 public:
  struct Kind {
    std::vector<std::string> labels;
    std::int64_t cpu = 32000;
    std::int64_t mem_mb = 128000;
  };

  Worker(asio::io_context& io, Store& store, Runs& runs, std::string service, std::string id,
         Kind kind)
      : m_store(store),
        m_runs(runs),
        m_service(std::move(service)),
        m_id(std::move(id)),
        m_kind(std::move(kind)),
        m_timer(io),
        m_server(io,
                 [this](const Request& request, const Reply& reply) { Handle(request, reply); }) {
    Begin();
    Tick();
  }

  /// Calls with a fencing token outside of this range come from behind a partition: they are
  /// neither carried out nor answered. The token tells from which node a call comes.
  struct {
    std::uint64_t lowest = 0;
    std::uint64_t highest = UINT64_MAX;
  } reachable;
  /// Cut off from the store: it does not write its entry.
  bool is_cut_from_store = false;
  /// Status of a run's start that is refused.
  std::function<void(const std::string& task, std::uint64_t run)> on_start;

  [[nodiscard]] const std::string& Id() const { return m_id; }
  [[nodiscard]] bool IsUp() const { return m_is_up; }
  [[nodiscard]] std::size_t Running() const { return m_running.size(); }
  [[nodiscard]] std::int64_t UsedCpu() const {
    std::int64_t used = 0;
    for (const auto& [task, run] : m_running) used += run.model.cpu;
    return used;
  }
  [[nodiscard]] const Kind& GetKind() const { return m_kind; }
  /// @returns whether it has the label; true for none.
  [[nodiscard]] bool HasLabel(const std::string& label) const {
    return label.empty() ||
           std::find(m_kind.labels.begin(), m_kind.labels.end(), label) != m_kind.labels.end();
  }
  [[nodiscard]] std::uint64_t HighestFence() const { return m_fence; }

  /// The process is killed: everything on it ends, its connections are reset.
  void Kill() {
    m_is_up = false;
    m_server.Close();
    for (const auto& [task, run] : m_running) Forget(task);
    m_running.clear();
    m_ended.clear();
    m_stopped.clear();
    m_waiting.clear();
    m_runs.record().Line("worker " + m_id + " killed");
  }

  /// The process starts again under its id.
  void Restart(Kind kind) {
    m_kind = std::move(kind);
    m_server.Open();
    Begin();
  }

 private:
  struct Run {
    std::uint64_t run = 0;
    TaskModel model;
    SteadyTime started;
    milliseconds done_before{0};
    std::string saved;
    std::optional<SteadyTime> stop_at;
  };
  struct End {
    std::uint64_t number;
    std::string task;
    std::uint64_t run;
    std::string how;
    std::string saved;
  };
  struct Hold {
    SteadyTime until;
    Reply reply;
  };

  void Begin() {
    m_is_up = true;
    m_born_unix_ms = UnixMs();
    m_born = Now();
    m_fence = 0;
    m_lease_end = milliseconds(0);
    m_last_end = 0;
    m_sequence = 0;
    // It opens its port first, so that it can be reached once it is listed.
    m_next_beat = Now() + kRegisterTime;
    std::string labels;
    for (const std::string& label : m_kind.labels) labels += " " + label;
    m_runs.record().Line("worker " + m_id + " starts, born " + std::to_string(m_born_unix_ms) +
                         ", cpu " + std::to_string(m_kind.cpu) + ", labels" + labels);
  }

  [[nodiscard]] milliseconds Clock() const {
    return std::chrono::duration_cast<milliseconds>(Now() - m_born) + kClockAtStart;
  }

  void Beat() {
    if (!m_is_up || is_cut_from_store || Now() < m_next_beat) return;
    m_next_beat = Now() + kHeartbeat;
    m_last_beat = Now();
    m_is_listed = true;
    json::object row;
    row["service"] = m_service;
    row["address"] = "127.0.0.1:" + std::to_string(m_server.Port());
    row["machine"] = "m-" + m_id;
    row["zone"] = "zone-a";
    row["version"] = "v1";
    row["slots"] = 8;
    row["state"] = "ready";
    row["coldRemainingMs"] = 0;
    row["capacity"] = {{"cpu", m_kind.cpu}, {"memMb", m_kind.mem_mb}, {"gpu", 0}};
    json::array labels;
    for (const std::string& label : m_kind.labels) labels.push_back(json::value(label));
    row["labels"] = std::move(labels);
    row["clockMs"] = Clock().count();
    row["born"] = m_born_unix_ms;
    row["sequence"] = ++m_sequence;
    m_store.Put("servers", m_id, json::serialize(row));
  }

  void Tick() {
    m_timer.expires_after(kTick);
    m_timer.async_wait([this](error_code error) {
      if (error) return;
      Tick();
    });
    Beat();
    // The platform removes entries after three heartbeats of silence.
    if (m_is_listed && Now() > m_last_beat + 3 * kHeartbeat) {
      m_is_listed = false;
      m_store.Remove("servers", m_id);
      m_runs.record().Line("entry of worker " + m_id + " removed");
    }
    if (!m_is_up) return;
    std::vector<std::pair<std::string, std::string>> over;
    for (auto& [task, run] : m_running) {
      if (Clock() >= m_lease_end) {
        over.emplace_back(task, "lapsed");
      } else if (Worked(run) >= run.model.work && !run.stop_at) {
        over.emplace_back(task, "done");
      } else if (run.stop_at && Now() >= *run.stop_at) {
        over.emplace_back(task, "stopped");
      }
      if (run.model.checkpoints && Worked(run) - run.done_before >= kSavePeriod) {
        run.saved = Hex(Worked(run) / kSavePeriod * kSavePeriod);
      }
    }
    for (const auto& [task, how] : over) Finish(task, how);
    for (auto hold = m_waiting.begin(); hold != m_waiting.end();) {
      if (Now() < hold->until && over.empty()) {
        ++hold;
        continue;
      }
      hold->reply(200, Lists());
      hold = m_waiting.erase(hold);
    }
  }

  static milliseconds Worked(const Run& run) {
    return run.done_before + std::chrono::duration_cast<milliseconds>(Now() - run.started);
  }

  static std::string Hex(milliseconds value) {
    char text[32];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value.count()));
    return text;
  }

  void Forget(const std::string& task) {
    auto& live = m_runs.live[task];
    std::erase_if(live, [this](const Runs::Live& run) { return run.worker == this; });
    const std::string job = task.substr(0, task.find('.'));
    --m_runs.running_of_job[job];
    m_runs.last_over[job] = Now();
  }

  void Finish(const std::string& task, const std::string& how) {
    const Run run = m_running.at(task);
    m_running.erase(task);
    Forget(task);
    std::string saved = run.saved;
    if (how == "stopped" && run.model.checkpoints) saved = Hex(Worked(run));
    m_ended.push_back({++m_last_end, task, run.run, how, saved});
    m_stopped[task] = std::max(m_stopped[task], run.run);
    ++m_runs.ends[how];
    if (how == "done") ++m_runs.done[task];
    m_runs.record().Line("end " + task + " run " + std::to_string(run.run) + " on " + m_id + ": " +
                         how + " after " + std::to_string((Worked(run) - run.done_before).count()) +
                         " ms, " + std::to_string(Percent(run)) + "%");
  }

  static std::int64_t Percent(const Run& run) {
    return std::min<std::int64_t>(100, 100 * Worked(run).count() / run.model.work.count());
  }

  std::string Lists() {
    json::array running;
    for (const auto& [task, run] : m_running) {
      running.push_back(json::array{task, run.run, run.saved, Percent(run), run.model.cpu});
    }
    json::array ended;
    for (const End& end : m_ended) {
      if (ended.size() >= 500) break;
      ended.push_back(json::array{end.number, end.task, end.run, end.how, end.saved});
    }
    json::object body;
    body["clockMs"] = Clock().count();
    body["born"] = m_born_unix_ms;
    body["running"] = std::move(running);
    body["ended"] = std::move(ended);
    return json::serialize(body);
  }

  [[nodiscard]] std::string Body(const char* reason = nullptr) const {
    json::object body;
    body["clockMs"] = Clock().count();
    if (reason != nullptr) body["reason"] = reason;
    return json::serialize(body);
  }

  void Handle(const Request& request, const Reply& reply) {
    if (!m_is_up) return;
    if (request.expected_instance != m_id) return reply(421, "{}");
    json::object body;
    try {
      body = json::parse(request.body).as_object();
    } catch (const std::exception&) {
      return reply(400, Body());
    }
    const auto fence = static_cast<std::uint64_t>(Integer(body, "fence"));
    if (fence < reachable.lowest || fence > reachable.highest) return;
    if (fence < m_fence) return reply(409, Body("fence"));
    m_fence = fence;
    if (request.target == "/api/run-start") return Start(body, reply);
    if (request.target == "/api/run-stop") return Stop(body, reply);
    if (request.target == "/api/hold") return HandleHold(body, reply);
    reply(404, Body());
  }

  // A lease never gets shorter and never longer than the platform allows.
  void Extend(const json::object& body) {
    const milliseconds until(Integer(body, "deadlineMs"));
    m_lease_end = std::max(m_lease_end, std::min(until, Clock() + kMaxLease));
  }

  void Start(const json::object& body, const Reply& reply) {
    const std::string task = Text(body, "task");
    const auto run = static_cast<std::uint64_t>(Integer(body, "run"));
    if (milliseconds(Integer(body, "deadlineMs")) <= Clock()) return reply(409, Body("late"));
    Extend(body);
    if (const auto found = m_running.find(task); found != m_running.end()) {
      if (found->second.run == run) return reply(200, Body());
      return reply(409, Body("old"));
    }
    if (const auto found = m_stopped.find(task); found != m_stopped.end() && run <= found->second) {
      return reply(409, Body("old"));
    }
    Run started;
    started.run = run;
    started.started = Now();
    started.saved = Text(body, "saved");
    if (const TaskModel* model = m_runs.ModelOf(task); model != nullptr) {
      started.model = *model;
    } else {
      m_runs.record().Broken("UNASKED", "start of " + task + ", which no client sent");
      started.model.work = milliseconds(1000);
    }
    if (!started.saved.empty()) {
      started.done_before = milliseconds(std::stoll(started.saved, nullptr, 16));
    }
    CheckStart(task, started);
    m_running[task] = started;
    m_runs.live[task].push_back({this, run});
    ++m_runs.running_of_job[task.substr(0, task.find('.'))];
    ++m_runs.starts;
    m_runs.record().Line("start " + task + " run " + std::to_string(run) + " on " + m_id +
                         " fence " + std::to_string(m_fence) +
                         (started.saved.empty() ? "" : " saved " + started.saved));
    if (on_start) on_start(task, run);
    reply(200, Body());
  }

  void CheckStart(const std::string& task, const Run& run) {
    Record& record = m_runs.record();
    for (const Runs::Live& other : m_runs.live[task]) {
      if (other.worker->IsUp()) {
        record.Broken("TWICE", task + " starts as run " + std::to_string(run.run) + " on " + m_id +
                                   " while run " + std::to_string(other.run) + " is at work on " +
                                   other.worker->Id() + ", which is up");
      }
    }
    const std::string& label = run.model.required_label;
    if (!HasLabel(label)) {
      record.Broken("ROUTE", task + " needs label " + label + " and starts on " + m_id +
                                 ", which does not have it");
    }
    std::int64_t memory = run.model.mem_mb;
    for (const auto& [name, other] : m_running) memory += other.model.mem_mb;
    if (UsedCpu() + run.model.cpu > m_kind.cpu || memory > m_kind.mem_mb) {
      record.Broken("LIMIT", task + " starts on " + m_id + ": cpu " +
                                 std::to_string(UsedCpu() + run.model.cpu) + " of " +
                                 std::to_string(m_kind.cpu) + ", memory " + std::to_string(memory) +
                                 " of " + std::to_string(m_kind.mem_mb));
    }
  }

  void Stop(const json::object& body, const Reply& reply) {
    const std::string task = Text(body, "task");
    const auto run = static_cast<std::uint64_t>(Integer(body, "run"));
    m_stopped[task] = std::max(m_stopped[task], run);
    const auto found = m_running.find(task);
    if (found != m_running.end() && found->second.run == run && !found->second.stop_at) {
      found->second.stop_at = Now() + kStopTime;
      m_runs.record().Line(
          "stop " + task + " run " + std::to_string(run) + " on " + m_id + " at " +
          std::to_string(Percent(found->second)) + "% after " +
          std::to_string((Worked(found->second) - found->second.done_before).count()) +
          " ms, fence " + std::to_string(m_fence));
    }
    reply(200, Body());
  }

  void HandleHold(const json::object& body, const Reply& reply) {
    if (Integer(body, "deadlineMs") > 0) Extend(body);
    const auto acknowledged = static_cast<std::uint64_t>(Integer(body, "ackedUpto"));
    while (!m_ended.empty() && m_ended.front().number <= acknowledged) m_ended.pop_front();
    const milliseconds wait(std::min<std::int64_t>(Integer(body, "waitMs"), 2000));
    if (wait <= milliseconds(0) || !m_ended.empty()) return reply(200, Lists());
    m_waiting.push_back({Now() + wait, reply});
  }

  static constexpr milliseconds kHeartbeat{1500};
  static constexpr milliseconds kRegisterTime{60};
  static constexpr milliseconds kTick{10};
  static constexpr milliseconds kSavePeriod{1000};
  static constexpr milliseconds kStopTime{200};
  static constexpr milliseconds kMaxLease{10000};
  static constexpr milliseconds kClockAtStart{1000};

  Store& m_store;
  Runs& m_runs;
  std::string m_service;
  std::string m_id;
  Kind m_kind;
  asio::steady_timer m_timer;
  Server m_server;
  bool m_is_up = false;
  bool m_is_listed = false;
  std::int64_t m_born_unix_ms = 0;
  SteadyTime m_born;
  SteadyTime m_next_beat;
  SteadyTime m_last_beat;
  std::uint64_t m_fence = 0;
  milliseconds m_lease_end{0};
  std::uint64_t m_last_end = 0;
  std::uint64_t m_sequence = 0;
  std::map<std::string, Run> m_running;
  std::map<std::string, std::uint64_t> m_stopped;
  std::deque<End> m_ended;
  std::list<Hold> m_waiting;
};

}  // namespace review
