// Invalid input for every decoder. Each input must get an error code or a clean close, and the
// process must keep running.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <future>

#include "citronsill/codec.h"
#include "citronsill/entry.h"
#include "citronsill/http.h"
#include "citronsill/peer.h"
#include "citronsill/records.h"
#include "citronsill/settings.h"
#include "schema/citronsill.pb.h"

namespace citronsill {
namespace {

using Tcp = boost::asio::ip::tcp;

const std::string kRequestJson =
    R"({"work_class":"a","team":"t","key":"k","size":{"processors":1.5,"memory_mb":10},)"
    R"("run_time":"2s","task_count":3,"urgency":"URGENCY_URGENT","payload":"\u00e9 x"})";
const std::string kSettingsJson =
    R"({"instance_id":"i","failure_domain":"d","api_address":"127.0.0.1:1", // c
    "peer_address":"127.0.0.1:2","table_address":"127.0.0.1:3","directory_address":"127.0.0.1:3",
    "classes":[{"name":"a","idempotent":true,"default_size":{"processors":1,"memory_mb":1},
    "default_run_time":"1s"}]})";
const std::string kRecordJson =
    R"({"schema_version":2,"kind":"limit","name":"north","limit":{"quota":{"processors":4},)"
    R"("max_waiting":9}})";
const std::string kApplyJson =
    R"({"apply_id":"a","base_revision":3,"author":"x","records":[)" + kRecordJson + "]}";
const std::string kFrameJson = R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"id":"x"}})";

// A valid text with a few random errors.
rc::Gen<std::string> WithRandomErrors(const std::string& valid) {
  const std::vector<std::string> pieces{"{",       "}",    "[",
                                        "]",       "\"",   "\\",
                                        ",",       ":",    "null",
                                        "1e999",   "-1",   "18446744073709551616",
                                        "\xff",    "\xc3", std::string(1, '\0'),
                                        "\\ud800", "//",   std::string(2000, '['),
                                        "true"};
  return rc::gen::map(
      rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
          rc::gen::tuple(rc::gen::arbitrary<unsigned>(), rc::gen::arbitrary<unsigned>(),
                         rc::gen::inRange(0U, 3U))),
      [valid, pieces](const std::vector<std::tuple<unsigned, unsigned, unsigned>>& edits) {
        std::string text = valid;
        for (const auto& [position, choice, kind] : edits) {
          const std::size_t at = position % (text.size() + 1);
          if (kind == 0) text.insert(at, pieces[choice % pieces.size()]);
          if (kind == 1) text.erase(at, choice % 8);
          if (kind == 2 && at < text.size()) text[at] = static_cast<char>(choice);
        }
        return text;
      });
}

bool IsInputCode(schema::Code code) { return code >= 101 && code <= 109; }

// Reads until the other side closes the connection.
std::string ReadAll(Tcp::socket& socket) {
  boost::system::error_code error;
  std::string text;
  boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
  return text;
}

class Server {
 public:
  Server() : m_runtime(std::move(Runtime::Create(1).value())) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.limits.read_timeout = std::chrono::milliseconds(200);
    options.limits.idle_timeout = std::chrono::milliseconds(200);
    m_http = std::move(
        HttpServer::Create(*m_runtime, options, [](const HttpRequest&, const HttpReply& reply) {
          reply(HttpResponse{});
        }).value());
    m_peer = std::move(PeerServer::Create(*m_runtime, "127.0.0.1:0").value());
    m_peer->Handle("echo", [](const std::string& params) -> Result<std::string> {
      schema::RequestId id;
      BOOST_OUTCOME_TRY(FromJson(params, UnknownFields::kIgnore, &id));
      return ToJson(id);
    });
    m_peer->Start();
    m_runtime->Start();
  }
  ~Server() { m_runtime->Stop(); }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  Tcp::socket Connect(bool to_peer) {
    Tcp::socket socket(m_context);
    const std::uint16_t port = to_peer ? m_peer->Port() : m_http->Port();
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    return socket;
  }

  // Sends bytes over HTTP and returns everything received before the close.
  std::string Http(const std::string& bytes, bool half_close = false) {
    Tcp::socket socket = Connect(false);
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    if (half_close) socket.shutdown(Tcp::socket::shutdown_send, ignored);
    return ReadAll(socket);
  }

  // Sends one frame and returns the answer, or an empty string if the connection was closed.
  std::string Frame(std::uint32_t size, const std::string& body) {
    Tcp::socket socket = Connect(true);
    const std::string bytes{static_cast<char>(size >> 24U), static_cast<char>(size >> 16U),
                            static_cast<char>(size >> 8U), static_cast<char>(size)};
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes + body), error);
    if (size > body.size()) socket.shutdown(Tcp::socket::shutdown_send, error);
    std::array<unsigned char, 4> header{};
    boost::asio::read(socket, boost::asio::buffer(header), error);
    if (error) return "";
    std::string answer((header[0] << 24U) | (header[1] << 16U) | (header[2] << 8U) | header[3], 0);
    boost::asio::read(socket, boost::asio::buffer(answer), error);
    return error ? "" : answer;
  }

  std::string Frame(const std::string& body) {
    return Frame(static_cast<std::uint32_t>(body.size()), body);
  }

 private:
  boost::asio::io_context m_context;
  std::unique_ptr<Runtime> m_runtime;
  std::unique_ptr<HttpServer> m_http;
  std::unique_ptr<PeerServer> m_peer;
};

}  // namespace

// Guards against input that crashes the process or is misinterpreted.
TEST_CASE("decoder: damaged JSON gets an error code") {
  CHECK(rc::check("requests", [] {
    const std::string text = *WithRandomErrors(kRequestJson);
    schema::Request request;
    auto result = FromJson(text, UnknownFields::kReject, &request);
    if (result) result = CheckRequest(request);
    if (!result) RC_ASSERT(IsInputCode(result.error().code));
  }));
  CHECK(rc::check("settings", [] {
    const auto result = ParseSettings("x", *WithRandomErrors(kSettingsJson));
    if (!result) RC_ASSERT(result.error().code / 100 == 7);
  }));
  CHECK(rc::check("records", [] {
    const auto result = ParseRecord(*WithRandomErrors(kRecordJson));
    if (!result) RC_ASSERT(IsInputCode(result.error().code));
  }));
  CHECK(rc::check("applies", [] {
    const auto result = ParseApply(*WithRandomErrors(kApplyJson));
    if (!result) RC_ASSERT(IsInputCode(result.error().code));
  }));
  CHECK(rc::check("any bytes", [](const std::string& text) {
    schema::Request request;
    const auto result = FromJson(text, UnknownFields::kReject, &request);
    if (!result) RC_ASSERT(IsInputCode(result.error().code));
    RC_ASSERT(ParseSettings("x", text).has_error());
    RC_ASSERT(ParseRecord(text).has_error());
    RC_ASSERT(ParseApply(text).has_error());
  }));
}

// Guards against error codes that do not tell a caller what is wrong.
TEST_CASE("decoder: each kind of bad request has its code") {
  const auto code = [](const std::string& text) {
    schema::Request request;
    auto result = FromJson(text, UnknownFields::kReject, &request);
    if (result) result = CheckRequest(request);
    return result ? schema::CODE_OK : result.error().code;
  };
  CHECK(code(kRequestJson) == schema::CODE_OK);
  CHECK(code(kRequestJson.substr(0, 40)) == schema::CODE_MALFORMED);
  CHECK(code("") == schema::CODE_MALFORMED);
  CHECK(code("[1]") == schema::CODE_MALFORMED);
  CHECK(code(std::string(1 << 19, '[')) == schema::CODE_MALFORMED);
  CHECK(code("{\"team\":\"\xff\"}") == schema::CODE_MALFORMED);
  CHECK(code(R"({"tean":"x"})") == schema::CODE_UNKNOWN_FIELD);
  CHECK(code(R"({"task_count":"many"})") == schema::CODE_INVALID_FIELD);
  CHECK(code(R"({"task_count":-1})") == schema::CODE_INVALID_FIELD);
  CHECK(code(R"({"task_count":4294967296})") == schema::CODE_INVALID_FIELD);
  CHECK(code(R"({"size":{"processors":1e999}})") == schema::CODE_INVALID_FIELD);
  CHECK(code(R"({"work_class":"a","team":"t","size":{"processors":"NaN"}})") ==
        schema::CODE_INVALID_FIELD);
  CHECK(code(R"({"work_class":"a","team":"t","deadline":"9999999999s"})") ==
        schema::CODE_INVALID_FIELD);
  CHECK(code(R"({"run_time":"2"})") == schema::CODE_INVALID_FIELD);
  CHECK(code(R"({"urgency":"SOON"})") == schema::CODE_INVALID_FIELD);
}

// Guards against connections that hang, crash the instance, or are closed without the reason.
TEST_CASE("decoder: bad HTTP gets an error code or a clean close") {
  Server server;
  const auto check_contains = [](const std::string& answer, const std::string& text) {
    CAPTURE(answer);
    CHECK(answer.find(text) != std::string::npos);
  };
  const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
  check_contains(server.Http(post + "Content-Length: 99999999\r\n\r\n"), "CODE_TOO_LARGE");
  check_contains(server.Http(post + "Content-Length: 2000000\r\n\r\n" + std::string(2000000, 'x')),
                 "CODE_TOO_LARGE");
  check_contains(server.Http(post + "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n"),
                 "CODE_TOO_LARGE");
  check_contains(server.Http(post + "X: " + std::string(10000, 'x') + "\r\n\r\n"),
                 "CODE_TOO_LARGE");
  check_contains(server.Http("\x16\x03\x01 not HTTP\r\n\r\n"), "CODE_MALFORMED");
  check_contains(server.Http(post + "Content-Length: -5\r\n\r\n"), "CODE_MALFORMED");
  check_contains(server.Http(post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"), "CODE_MALFORMED");
  // Half-open, silent and slow connections are closed without an answer.
  CHECK(server.Http("").empty());
  CHECK(server.Http("", true).empty());
  CHECK(server.Http("POST / HT").empty());
  CHECK(server.Http(post + "Content-Length: 10\r\n\r\nabc").empty());
  CHECK(server.Http(post + "Content-Length: 10\r\n\r\nabc", true).empty());
  check_contains(server.Http("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"), "200 OK");
  CHECK(rc::check("any bytes", [&](const std::string& bytes) {
    server.Http(bytes, true);
    const std::string valid = "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    RC_ASSERT(server.Http(valid).find("200 OK") != std::string::npos);
  }));
}

// Guards against frames of a faulty or foreign peer that crash the process or block other peers.
TEST_CASE("decoder: bad peer frames get an error code or a clean close") {
  Server server;
  const std::string valid = server.Frame(kFrameJson);
  CHECK(valid.find("\"x\"") != std::string::npos);
  CHECK(server.Frame(0, "").empty());
  CHECK(server.Frame(0xFFFFFFFFU, "x").empty());
  CHECK(server.Frame((1U << 20U) + 1, "x").empty());
  CHECK(server.Frame(100, "cut off").empty());
  CHECK(server.Frame("not JSON").find("-32700") != std::string::npos);
  CHECK(server.Frame(std::string(1 << 20, '[')).find("error") != std::string::npos);
  CHECK(server
            .Frame(R"({"jsonrpc":"2.0","id":1,"method":"echo","params":)" + std::string(900, '[') +
                   std::string(900, ']') + "}")
            .find("error") != std::string::npos);
  CHECK(server.Frame(R"({"jsonrpc":"2.0","id":1,"method":"nope","params":{}})").find("-32601") !=
        std::string::npos);
  CHECK(server.Frame(R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"id":7}})")
            .find(std::to_string(schema::CODE_INVALID_FIELD)) != std::string::npos);
  CHECK(
      server
          .Frame("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"echo\",\"params\":{\"id\":\"\xff\"}}")
          .find("error") != std::string::npos);
  CHECK(rc::check("damaged frames", [&] {
    server.Frame(*WithRandomErrors(kFrameJson));
    RC_ASSERT(server.Frame(kFrameJson) == valid);
  }));
}

}  // namespace citronsill
