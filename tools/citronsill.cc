// citronsill: command line tool for callers and operators.
#include <unistd.h>

#include <boost/program_options.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "citronsill/client.h"
#include "citronsill/codec.h"
#include "citronsill/ledger.h"
#include "citronsill/records.h"
#include "citronsill/report.h"
#include "citronsill/settings.h"
#include "command_line.h"
#include "schema/citronsill.pb.h"

namespace po = boost::program_options;

namespace citronsill {
namespace {

using Json = nlohmann::ordered_json;
using std::chrono::milliseconds;

// Added to the deadline of a request: the answer may be sent at the deadline and then needs time to
// arrive.
constexpr milliseconds kAnswerMargin{5000};
// Time to wait for the answer to a request without a deadline.
constexpr milliseconds kDefaultWait{60000};
constexpr milliseconds kQueryTimeout{10000};
constexpr std::size_t kParallelSubmits = 32;  // Requests of one file that are in flight at a time.

// Thrown when a command fails: the exit code and the message for stderr.
struct CommandError {
  ExitCode exit;
  std::string message;
};

// Returns the name of the code and the message. For an empty message, `Describe` ends in ": ",
// which is removed.
std::string CodeText(schema::Code code, const std::string& message) {
  const std::string text = Describe({code, message});
  return message.empty() ? text.substr(0, text.size() - 2) : text;
}

[[noreturn]] void Fail(ExitCode exit, const std::string& message) {
  throw CommandError{exit, message};
}

[[noreturn]] void Fail(const Error& error) { Fail(ExitCodeOf(error.code), Describe(error)); }

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) Fail(ExitCode::kUsage, path + ": the file cannot be read");
  return text.str();
}

Json ParseFile(const std::string& path) {
  Json json = Json::parse(ReadFile(path), nullptr, false, true);
  if (json.is_discarded()) Fail(ExitCode::kUsage, path + ": not valid JSON with comments");
  return json;
}

std::string RandomHex() {
  std::random_device device;
  std::ostringstream text;
  text << std::hex;
  for (int i = 0; i < 4; ++i) text << device();
  return text.str();
}

// Progress line that is updated in place. Prints nothing when stderr is not a terminal.
class Progress {
 public:
  explicit Progress(std::string what) : m_what(std::move(what)) {}
  ~Progress() {
    if (m_is_shown) std::cerr << "\r\033[K" << std::flush;
  }
  Progress(const Progress&) = delete;
  Progress& operator=(const Progress&) = delete;

  void Show() {
    if (isatty(STDERR_FILENO) == 0) return;
    const auto waited = std::chrono::steady_clock::now() - m_start;
    std::cerr << "\r" << m_what << " "
              << std::chrono::duration_cast<std::chrono::seconds>(waited).count() << " s"
              << std::flush;
    m_is_shown = true;
  }

 private:
  std::string m_what;
  std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
  bool m_is_shown = false;
};

class Commands {
 public:
  Commands(Runtime& runtime, const po::variables_map& values) : m_values(values) {
    ClientOptions options;
    std::stringstream servers(OptionText("server"));
    for (std::string server; std::getline(servers, server, ',');) options.servers.push_back(server);
    m_server_count = options.servers.size();
    options.access_key = AccessKey();
    options.tls_ca_file = OptionText("ca");
    auto client = Client::Create(runtime, options);
    if (!client) Fail(ExitCode::kUsage, Describe(client.error()));
    m_client = std::move(client).value();
  }

  ExitCode Submit() {
    const std::vector<schema::Request> requests = ReadRequests();
    ExitCode exit = ExitCode::kSuccess;
    Json answers = Json::array();
    for (std::size_t first = 0; first < requests.size(); first += kParallelSubmits) {
      std::vector<std::future<Result<HttpResponse>>> calls;
      const std::size_t end = std::min(requests.size(), first + kParallelSubmits);
      for (std::size_t i = first; i < end; ++i) calls.push_back(SendSubmit(requests[i]));
      for (std::size_t i = first; i < end; ++i) {
        const ExitCode request_exit =
            ShowSubmit(requests[i], Await(calls[i - first], "waiting"), &answers);
        if (exit == ExitCode::kSuccess) exit = request_exit;
      }
    }
    if (IsJson()) std::cout << (m_values.count("file") > 0 ? answers : answers[0]).dump() << '\n';
    return exit;
  }

  ExitCode QueryRequest(const std::string& method) {
    const std::string id = OptionText("id");
    if (id.empty()) Fail(ExitCode::kUsage, "the id of the request is missing");
    return ShowAnswer(Call(method, "/v1/requests/" + id, "", RetryPolicy::kIdempotent));
  }

  ExitCode Apply() {
    Json body;
    body["apply_id"] =
        OptionText("apply-id").empty() ? "apply-" + RandomHex() : OptionText("apply-id");
    const char* user = std::getenv("USER");
    body["author"] = !OptionText("author").empty() ? OptionText("author")
                     : user != nullptr             ? user
                                                   : "unknown";
    body["dry_run"] = m_values.count("dry-run") > 0;
    body["records"] = LoadRecords(OptionText("path"));
    const std::uint64_t base = m_values.count("based-on") > 0
                                   ? m_values["based-on"].as<std::uint64_t>()
                                   : CurrentRevision();
    body["base_revision"] = base;
    std::cerr << "apply-id: " << body["apply_id"].get<std::string>() << ", based on revision "
              << base << '\n';
    const HttpResponse response =
        Call("POST", "/v1/records", body.dump(), RetryPolicy::kIdempotent);
    schema::ApplyResult result;
    if (!FromJson(response.body, UnknownFields::kIgnore, &result) || result.apply_id().empty()) {
      return ShowAnswer(response);
    }
    if (IsJson()) {
      std::cout << response.body << '\n';
    } else {
      for (const schema::RecordDifference& difference : result.differences())
        ShowDifference(difference);
      std::cout << CodeText(result.code(), result.message()) << "; revision " << result.revision()
                << '\n';
    }
    return ExitCodeOf(result.code());
  }

  ExitCode Get() {
    const HttpResponse response = Call("GET", "/v1/records", "", RetryPolicy::kIdempotent);
    Json view = Json::parse(response.body, nullptr, false);
    if (response.status != 200 || !view.is_object()) return ShowAnswer(response);
    Json matching = Json::array();
    for (const Json& record : view.value("records", Json::array())) {
      const bool matches_kind = OptionText("kind").empty() || record["kind"] == OptionText("kind");
      const bool matches_name = OptionText("name").empty() || record["name"] == OptionText("name");
      if (matches_kind && matches_name) matching.push_back(record);
    }
    view["records"] = matching;
    if (IsJson()) {
      std::cout << view.dump() << '\n';
    } else {
      ShowRecords(view);
    }
    return matching.empty() && !OptionText("name").empty() ? ExitCode::kNotFound
                                                           : ExitCode::kSuccess;
  }

  ExitCode Report() {
    const std::string format = IsJson() ? "json" : "text";
    const HttpResponse response =
        Call("GET", "/v1/report?format=" + format, "", RetryPolicy::kIdempotent);
    if (response.status != 200) return ShowAnswer(response);
    std::cout << response.body << (IsJson() ? "\n" : "");
    return ExitCode::kSuccess;
  }

  ExitCode Drain() {
    // With several servers, the client would drain the next one when the first is unreachable.
    if (m_server_count != 1) Fail(ExitCode::kUsage, "drain takes exactly one --server");
    const HttpResponse response = Call("POST", "/v1/drain", "", RetryPolicy::kNever);
    if (response.status != 202) return ShowAnswer(response);
    std::cout << (IsJson() ? "{\"state\":\"draining\"}\n" : response.body);
    return ExitCode::kSuccess;
  }

 private:
  std::string OptionText(const char* name) const {
    return m_values.count(name) > 0 ? m_values[name].as<std::string>() : std::string();
  }

  bool IsJson() const { return OptionText("output") == "json"; }

  // Access keys are not taken from the command line, which every process on the machine can read.
  std::string AccessKey() const {
    const char* from_environment = std::getenv("CITRONSILL_KEY_FILE");
    std::string path = OptionText("key-file");
    if (path.empty() && from_environment != nullptr) path = from_environment;
    if (path.empty()) return "";
    std::string key = ReadFile(path);
    while (!key.empty() && std::isspace(static_cast<unsigned char>(key.back())) != 0)
      key.pop_back();
    return key;
  }

  Result<HttpResponse> Await(std::future<Result<HttpResponse>>& call, const std::string& what) {
    Progress progress(what);
    while (call.wait_for(std::chrono::seconds(1)) != std::future_status::ready) progress.Show();
    return call.get();
  }

  std::future<Result<HttpResponse>> Start(HttpRequest request, milliseconds timeout,
                                          RetryPolicy retry_policy) {
    auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
    m_client->Send(
        std::move(request), timeout, retry_policy,
        [promise](Result<HttpResponse> response) { promise->set_value(std::move(response)); });
    return promise->get_future();
  }

  HttpResponse Call(const std::string& method, const std::string& target, const std::string& body,
                    RetryPolicy retry_policy) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    auto call = Start(std::move(request), kQueryTimeout, retry_policy);
    auto response = Await(call, method + " " + target);
    if (!response) Fail(response.error());
    return std::move(response).value();
  }

  std::vector<schema::Request> ReadRequests() const {
    std::vector<schema::Request> requests;
    if (m_values.count("file") > 0) {
      Json list = ParseFile(OptionText("file"));
      if (!list.is_array()) list = Json::array({list});
      for (std::size_t i = 0; i < list.size(); ++i) {
        schema::Request& request = requests.emplace_back();
        if (auto parsed = FromJson(list[i].dump(), UnknownFields::kReject, &request); !parsed) {
          Fail(ExitCode::kUsage, OptionText("file") + ": request " + std::to_string(i) + ": " +
                                     Describe(parsed.error()));
        }
      }
    } else {
      requests.push_back(RequestFromOptions());
    }
    for (schema::Request& request : requests) {
      if (request.key().empty()) request.set_key("cli-" + RandomHex());
    }
    return requests;
  }

  schema::Request RequestFromOptions() const {
    Json json = Json::object();
    const std::pair<const char*, const char*> texts[] = {
        {"class", "work_class"}, {"team", "team"},         {"key", "key"},
        {"payload", "payload"},  {"run-time", "run_time"}, {"deadline", "deadline"}};
    for (const auto& [option, field] : texts) {
      if (m_values.count(option) > 0) json[field] = OptionText(option);
    }
    if (m_values.count("processors") > 0) {
      json["size"]["processors"] = m_values["processors"].as<double>();
    }
    if (m_values.count("memory-mb") > 0) {
      json["size"]["memory_mb"] = m_values["memory-mb"].as<std::uint64_t>();
    }
    if (m_values.count("accelerators") > 0) {
      json["size"]["accelerators"] = m_values["accelerators"].as<std::uint32_t>();
    }
    if (m_values.count("tasks") > 0) json["task_count"] = m_values["tasks"].as<std::uint32_t>();
    if (m_values.count("all-at-once") > 0) json["all_at_once"] = true;
    if (m_values.count("urgent") > 0) json["urgency"] = "URGENCY_URGENT";
    if (m_values.count("no-wait") > 0) json["no_wait"] = true;
    schema::Request request;
    if (auto parsed = FromJson(json.dump(), UnknownFields::kReject, &request); !parsed) {
      Fail(ExitCode::kUsage, Describe(parsed.error()));
    }
    if (request.work_class().empty() || request.team().empty()) {
      Fail(ExitCode::kUsage, "submit needs --class and --team, or --file");
    }
    return request;
  }

  std::future<Result<HttpResponse>> SendSubmit(const schema::Request& request) {
    std::cerr << "key: " << request.key() << '\n';
    HttpRequest message;
    message.method = "POST";
    message.target = "/v1/requests";
    message.body = ToJson(request);
    const milliseconds wait =
        request.has_deadline() ? ToMilliseconds(request.deadline()) : kDefaultWait;
    // The idempotency key makes a retry at another server safe, even for work that is not
    // idempotent.
    return Start(std::move(message), wait + kAnswerMargin, RetryPolicy::kIdempotent);
  }

  ExitCode ShowSubmit(const schema::Request& request, const Result<HttpResponse>& response,
                      Json* answers) {
    schema::Answer answer;
    if (!response) {
      answer.set_id(RequestIdOf(request.team(), request.key()));
      answer.set_code(response.error().code);
      answer.set_message(response.error().message);
      answer.set_not_run(ExitCodeOf(answer.code()) == ExitCode::kUnreachable);
    } else if (!FromJson(response.value().body, UnknownFields::kIgnore, &answer)) {
      answer.set_code(schema::CODE_INTERNAL);
      answer.set_message("the response is not a valid answer");
    }
    if (IsJson()) {
      Json json = Json::parse(ToJson(answer));
      json["key"] = request.key();
      answers->push_back(std::move(json));
    } else if (m_values.count("file") > 0) {
      std::cout << request.key() << ' ' << answer.id() << ' '
                << CodeText(answer.code(), answer.message()) << '\n';
      for (const std::string& result : answer.results()) std::cout << "  " << result << '\n';
    } else {
      ShowText(answer);
    }
    return ExitCodeOf(answer.code());
  }

  ExitCode ShowAnswer(const HttpResponse& response) {
    schema::Answer answer;
    if (!FromJson(response.body, UnknownFields::kIgnore, &answer)) {
      Fail(ExitCode::kFault, "status " + std::to_string(response.status) + ": " + response.body);
    }
    if (IsJson()) {
      std::cout << response.body << '\n';
    } else {
      ShowText(answer);
    }
    return ExitCodeOf(answer.code());
  }

  static void ShowText(const schema::Answer& answer) {
    std::string state = schema::RequestState_Name(answer.state()).substr(6);
    std::transform(state.begin(), state.end(), state.begin(), ::tolower);
    if (!answer.id().empty()) std::cout << "id       " << answer.id() << '\n';
    std::cout << "state    " << state << '\n';
    std::cout << "code     " << CodeText(answer.code(), answer.message()) << '\n';
    for (const std::string& result : answer.results()) std::cout << "result   " << result << '\n';
    if (answer.not_run()) std::cout << "not run  yes\n";
    if (!answer.location().empty()) std::cout << "outcome  " << answer.location() << '\n';
    if (answer.has_retry_after()) {
      std::cout << "retry in " << ToMilliseconds(answer.retry_after()).count() << " ms\n";
    }
  }

  static Json LoadRecords(const std::string& path) {
    if (path.empty()) Fail(ExitCode::kUsage, "the file or folder of records is missing");
    std::vector<std::string> files;
    if (std::filesystem::is_directory(path)) {
      for (const auto& entry : std::filesystem::directory_iterator(path)) {
        if (entry.path().extension() == ".json") files.push_back(entry.path().string());
      }
      std::sort(files.begin(), files.end());
      if (files.empty()) Fail(ExitCode::kUsage, path + ": the folder has no .json files");
    } else {
      files.push_back(path);
    }
    Json records = Json::array();
    for (const std::string& file : files) {
      Json content = ParseFile(file);
      if (!content.is_array()) content = Json::array({content});
      for (Json& record : content) {
        // The instance checks the record again. It may support a newer schema version than this
        // program, so an unknown version is not an error here.
        const auto checked = ParseRecord(record.dump());
        if (!checked && checked.error().code != schema::CODE_UNKNOWN_VERSION) {
          Fail(ExitCode::kUsage, file + ": " + Describe(checked.error()));
        }
        records.push_back(std::move(record));
      }
    }
    return records;
  }

  std::uint64_t CurrentRevision() {
    const HttpResponse response = Call("GET", "/v1/records", "", RetryPolicy::kIdempotent);
    const Json view = Json::parse(response.body, nullptr, false);
    if (response.status != 200 || !view.is_object()) {
      schema::Answer answer;
      if (!FromJson(response.body, UnknownFields::kIgnore, &answer))
        answer.set_code(schema::CODE_INTERNAL);
      Fail(Error{answer.code(), answer.message()});
    }
    return std::stoull(view.value("revision", std::string("0")));
  }

  static void ShowDifference(const schema::RecordDifference& difference) {
    std::cout << difference.kind() << ' ' << difference.name();
    if (difference.current_revision() > 0) {
      std::cout << ": in force since revision " << difference.current_revision() << " by "
                << difference.current_author() << " at " << ClockTime(difference.current_unix_ms());
    }
    std::cout << '\n';
    if (!difference.current().empty()) std::cout << "- " << difference.current() << '\n';
    if (!difference.submitted().empty()) std::cout << "+ " << difference.submitted() << '\n';
  }

  static void ShowRecords(const Json& view) {
    std::cout << "revision " << view.value("revision", "0") << '\n';
    for (const Json& record : view["records"]) {
      std::cout << record.value("kind", "") << ' ' << record.value("name", "") << " revision "
                << record.value("revision", "0") << " by " << record.value("author", "") << " at "
                << ClockTime(std::stoll(record.value("applied_unix_ms", "0"))) << '\n'
                << "  " << record["content"].dump() << '\n';
    }
    for (const Json& instance : view.value("instances", Json::array())) {
      std::cout << "instance " << instance.value("instance", "");
      if (!instance.value("heard", false)) {
        std::cout << " unknown: no answer\n";
        continue;
      }
      std::cout << " revision " << instance.value("revision", "0") << " since "
                << ClockTime(std::stoll(instance.value("since_unix_ms", "0"))) << " from "
                << instance.value("source", "settings") << '\n';
    }
  }

  const po::variables_map& m_values;
  std::unique_ptr<Client> m_client;
  std::size_t m_server_count = 0;
};

ExitCode Check(const std::string& path) {
  if (path.empty()) Fail(ExitCode::kUsage, "the settings file is missing");
  const auto settings = LoadSettings(path);
  if (!settings) Fail(ExitCode::kUsage, Describe(settings.error()));
  std::cout << path << ": valid; instance " << settings.value().instance_id() << ", "
            << settings.value().classes_size() << " work classes\n";
  return ExitCode::kSuccess;
}

ExitCode Run(const std::string& command, const po::variables_map& values) {
  if (command == "check") {
    return Check(values.count("path") > 0 ? values["path"].as<std::string>() : "");
  }
  auto runtime = Runtime::Create(1);
  runtime.value()->Start();
  Commands commands(*runtime.value(), values);
  if (command == "submit") return commands.Submit();
  if (command == "status") return commands.QueryRequest("GET");
  if (command == "cancel") return commands.QueryRequest("DELETE");
  if (command == "apply") return commands.Apply();
  if (command == "get") return commands.Get();
  if (command == "report") return commands.Report();
  return commands.Drain();
}

ExitCode Main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  static const std::set<std::string> commands{"submit", "status", "cancel", "apply",
                                              "get",    "report", "drain",  "check"};
  if (!commands.contains(command)) {
    const bool is_help = command == "--help" || command == "help";
    (is_help ? std::cout : std::cerr) << kOverview;
    return is_help ? ExitCode::kSuccess : ExitCode::kUsage;
  }
  const Syntax syntax = SyntaxOf(command);
  po::variables_map values;
  po::store(po::command_line_parser(argc - 1, argv + 1)
                .options(syntax.options)
                .positional(syntax.positional)
                .run(),
            values);
  if (values.count("help") > 0) {
    std::cout << "usage: citronsill " << command << " [options]\n\nexample:\n  " << syntax.example
              << "\n\n"
              << syntax.options;
    return ExitCode::kSuccess;
  }
  const std::string output = values["output"].as<std::string>();
  if (output != "text" && output != "json") Fail(ExitCode::kUsage, "--output must be text or json");
  return Run(command, values);
}

}  // namespace
}  // namespace citronsill

int main(int argc, char** argv) {
  try {
    return static_cast<int>(citronsill::Main(argc, argv));
  } catch (const citronsill::CommandError& failure) {
    std::cerr << "citronsill: " << failure.message << '\n';
    return static_cast<int>(failure.exit);
  } catch (const std::exception& error) {
    std::cerr << "citronsill: " << error.what() << "; see citronsill --help\n";
    return static_cast<int>(citronsill::ExitCode::kUsage);
  }
}
