// Stand-in for the platform: serves the table service, the object store and the directory of
// instances and workers over HTTP, in memory.
#include <spdlog/spdlog.h>

#include <boost/program_options.hpp>
#include <iostream>
#include <map>
#include <mutex>

#include "citronsill/codec.h"
#include "citronsill/http.h"
#include "citronsill/timer.h"
#include "standin_table.h"

namespace options = boost::program_options;

namespace citronsill {
namespace {

HttpResponse StatusResponse(unsigned status) {
  HttpResponse response;
  response.status = status;
  response.body = "{}";
  return response;
}

class Platform {
 public:
  explicit Platform(TimerService& timers) : m_timers(timers) {}

  void Handle(const HttpRequest& request, const HttpReply& reply) {
    if (m_table_delay.load().count() > 0 && request.target.starts_with("/table/")) {
      m_timers.After(m_table_delay, [this, request, reply](SteadyTime) { Route(request, reply); });
      return;
    }
    if (m_objects_delay.load().count() > 0 && request.target.starts_with("/objects/")) {
      m_timers.After(m_objects_delay,
                     [this, request, reply](SteadyTime) { Route(request, reply); });
      return;
    }
    Route(request, reply);
  }

  // Sets the hook for the fault "silence": the connections open at that time stay open but carry no
  // more data.
  void OnSilence(std::function<void()> silence) { m_silence = std::move(silence); }

 private:
  void Route(const HttpRequest& request, const HttpReply& reply) {
    if (request.target == "/table/read") return Read(request, reply);
    if (request.target == "/table/scan") return Scan(request, reply);
    if (request.target == "/table/commit") return Commit(request, reply);
    if (request.target == "/directory") return SendDirectory(reply);
    if (request.target == "/directory/add") return AddToDirectory(request, reply);
    if (request.target.starts_with("/objects/")) return HandleObject(request, reply);
    if (request.target.starts_with("/fault/")) return SetFault(request.target.substr(7), reply);
    if (request.target == "/counts") return SendCounts(reply);
    reply(StatusResponse(404));
  }

  template <class Message>
  static void Send(const Result<Message>& result, const HttpReply& reply) {
    if (!result) {
      // For a lost answer, nothing is sent, so that the call times out at the client.
      if (result.error().code == schema::CODE_TABLE_UNAVAILABLE) reply(StatusResponse(503));
      return;
    }
    HttpResponse response;
    response.body = ToJson(result.value());
    reply(response);
  }

  void Read(const HttpRequest& request, const HttpReply& reply) {
    schema::TableRow query;
    if (!FromJson(request.body, UnknownFields::kReject, &query)) return reply(StatusResponse(400));
    m_table.Read(query.key(), [reply](const Result<schema::TableRow>& row) { Send(row, reply); });
  }

  void Scan(const HttpRequest& request, const HttpReply& reply) {
    schema::TableRow query;
    if (!FromJson(request.body, UnknownFields::kReject, &query)) return reply(StatusResponse(400));
    m_table.Scan(query.key(), [reply](const Result<std::vector<schema::TableRow>>& rows) {
      if (!rows) return Send<schema::TableScanResult>(rows.error(), reply);
      schema::TableScanResult result;
      for (const schema::TableRow& row : rows.value()) *result.add_rows() = row;
      Send<schema::TableScanResult>(std::move(result), reply);
    });
  }

  void Commit(const HttpRequest& request, const HttpReply& reply) {
    schema::TableTransaction transaction;
    if (!FromJson(request.body, UnknownFields::kReject, &transaction))
      return reply(StatusResponse(400));
    m_table.Commit(transaction, [reply](const Result<schema::TableCommitResult>& result) {
      Send(result, reply);
    });
  }

  void SendDirectory(const HttpReply& reply) {
    std::lock_guard lock(m_mutex);
    HttpResponse response;
    response.body = ToJson(m_directory);
    reply(response);
  }

  void AddToDirectory(const HttpRequest& request, const HttpReply& reply) {
    schema::Directory added;
    if (!FromJson(request.body, UnknownFields::kReject, &added)) return reply(StatusResponse(400));
    std::lock_guard lock(m_mutex);
    Merge(added.instances(), m_directory.mutable_instances());
    Merge(added.workers(), m_directory.mutable_workers());
    reply(StatusResponse(200));
  }

  template <class Entries>
  static void Merge(const Entries& added, Entries* entries) {
    for (const schema::DirectoryEntry& entry : added) {
      const auto has_same_id = [&](const schema::DirectoryEntry& other) {
        return other.id() == entry.id();
      };
      const auto found = std::find_if(entries->begin(), entries->end(), has_same_id);
      if (found != entries->end()) {
        *found = entry;
      } else {
        *entries->Add() = entry;
      }
    }
  }

  void HandleObject(const HttpRequest& request, const HttpReply& reply) {
    if (m_objects_down) return reply(StatusResponse(503));
    std::lock_guard lock(m_mutex);
    const std::string key = request.target.substr(std::string_view("/objects/").size());
    if (request.method == "PUT") {
      m_objects[key] = request.body;
      return reply(StatusResponse(200));
    }
    const auto found = m_objects.find(key);
    if (found == m_objects.end()) return reply(StatusResponse(404));
    if (request.method == "DELETE") {
      m_objects.erase(found);
      return reply(StatusResponse(200));
    }
    HttpResponse response;
    response.body = found->second;
    reply(response);
  }

  void SetFault(const std::string& fault, const HttpReply& reply) {
    if (fault == "objects-none") {
      m_objects_down = false;
      m_objects_delay = std::chrono::milliseconds(0);
    } else if (fault == "objects-down") {
      m_objects_down = true;
    } else if (fault == "objects-slow") {
      m_objects_delay = std::chrono::milliseconds(1000);
    } else if (fault == "none") {
      m_table.SetFault(TableFault::kNone);
      m_table_delay = std::chrono::milliseconds(0);
    } else if (fault == "down") {
      m_table.SetFault(TableFault::kDown);
    } else if (fault == "lose") {
      m_table.SetFault(TableFault::kLoseAnswers);
    } else if (fault == "slow") {
      m_table_delay = std::chrono::milliseconds(1000);
    } else if (fault == "silence" && m_silence) {
      reply(StatusResponse(200));
      return m_silence();
    } else {
      return reply(StatusResponse(404));
    }
    reply(StatusResponse(200));
  }

  void SendCounts(const HttpReply& reply) {
    HttpResponse response;
    response.body = "{\"reads\":" + std::to_string(m_table.Reads()) +
                    ",\"writes\":" + std::to_string(m_table.Writes()) + "}";
    reply(response);
  }

  TimerService& m_timers;
  std::function<void()> m_silence;
  StandinTable m_table;
  std::atomic<std::chrono::milliseconds> m_table_delay{std::chrono::milliseconds(0)};
  std::atomic<bool> m_objects_down{false};
  std::atomic<std::chrono::milliseconds> m_objects_delay{std::chrono::milliseconds(0)};
  std::mutex m_mutex;
  std::map<std::string, std::string> m_objects;
  schema::Directory m_directory;
};

int Serve(const std::string& address) {
  auto runtime = Runtime::Create(2);
  auto timers = TimerService::Create(*runtime.value());
  Platform platform(*timers.value());
  HttpServerOptions server_options;
  server_options.address = address;
  server_options.limits.max_body_bytes = 64 * kMaxHttpBodyBytes;
  auto server = HttpServer::Create(
      *runtime.value(), server_options,
      [&](const HttpRequest& request, const HttpReply& reply) { platform.Handle(request, reply); });
  if (!server) {
    std::cerr << Describe(server.error()) << '\n';
    return 1;
  }
  platform.OnSilence(
      [http_server = server.value().get()] { http_server->BlackholeOpenConnections(); });
  runtime.value()->RunUntilTerminated();
  return 0;
}

}  // namespace
}  // namespace citronsill

int main(int argc, char** argv) {
  options::options_description description(
      "platform_standin: in-memory table service, object store and directory");
  description.add_options()("help", "show this text")(
      "address", options::value<std::string>()->default_value("127.0.0.1:9000"), "IP:port");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  return citronsill::Serve(values["address"].as<std::string>());
}
