#include <nlohmann/json.hpp>

#include "citronsill/peer.h"
#include "internal.h"

namespace citronsill {
namespace {

struct PendingCall {
  std::function<void(Result<std::string>)> done;
  std::unique_ptr<asio::steady_timer> timer;
};

Error ToError(const nlohmann::json& error) {
  const auto code = error.find("code");
  const auto text = error.find("message");
  const int number = code != error.end() && code->is_number_integer() ? code->get<int>() : 0;
  const std::string message =
      text != error.end() && text->is_string() ? text->get<std::string>() : std::string();
  if (schema::Code_IsValid(number) && number != 0) {
    return Error{static_cast<schema::Code>(number), message};
  }
  return Error{schema::CODE_INTERNAL, "JSON-RPC error " + std::to_string(number) + ": " + message};
}

// The JSON-RPC result is {"value": ...} or {"error": {"code", "message"}}; peer_server.cc says why.
Result<std::string> ParseResponse(const nlohmann::json& message) {
  if (const auto error = message.find("error"); error != message.end() && error->is_object()) {
    return ToError(*error);
  }
  const auto result = message.find("result");
  if (result == message.end() || !result->is_object()) {
    return Error{schema::CODE_MALFORMED, "the JSON-RPC response has no result object"};
  }
  if (const auto error = result->find("error"); error != result->end() && error->is_object()) {
    return ToError(*error);
  }
  const auto value = result->find("value");
  if (value == result->end())
    return Error{schema::CODE_MALFORMED, "the JSON-RPC result has no value"};
  return value->dump();
}

}  // namespace

// One connection to one address; runs on a strand.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  PeerConnection(asio::io_context& context, Tcp::endpoint endpoint)
      : m_strand(asio::make_strand(context)), m_socket(m_strand), m_endpoint(std::move(endpoint)) {}

  void Call(const std::string& method, const std::string& params, std::chrono::milliseconds timeout,
            std::function<void(Result<std::string>)> done) {
    asio::post(m_strand, [self = shared_from_this(), method, params, timeout,
                          done = std::move(done)]() mutable {
      self->Start(method, params, timeout, std::move(done));
    });
  }

  [[nodiscard]] bool IsClosed() const { return m_closed; }

  void Close(schema::Code code, const std::string& reason) {
    asio::post(m_strand, [self = shared_from_this(), code, reason] { self->Fail(code, reason); });
  }

 private:
  void Start(const std::string& method, const std::string& params,
             std::chrono::milliseconds timeout, std::function<void(Result<std::string>)> done) {
    if (m_closed) {
      done(Error{schema::CODE_CONNECTION_CLOSED, "the connection was closed"});
      return;
    }
    const std::uint64_t id = ++m_last_id;
    PendingCall& call = m_pending[id];
    call.done = std::move(done);
    call.timer = std::make_unique<asio::steady_timer>(m_strand, timeout);
    call.timer->async_wait([weak = weak_from_this(), id](boost::system::error_code error) {
      if (auto self = weak.lock(); self && !error && self->m_pending.contains(id)) {
        // The connection may be dead after a missed deadline; the next call opens a new one.
        self->Fail(schema::CODE_TIMEOUT, "no answer before the deadline of the call");
      }
    });
    std::string body = R"({"jsonrpc":"2.0","id":)" + std::to_string(id) + R"(,"method":")" +
                       method + R"(","params":)" + params + "}";
    if (body.size() > kMaxPeerFrameBytes) {
      auto oversized = std::move(m_pending.extract(id).mapped());
      oversized.done(Error{schema::CODE_TOO_LARGE, "the message is too large"});
      return;
    }
    const auto length = static_cast<std::uint32_t>(body.size());
    std::string frame{static_cast<char>(length >> 24U), static_cast<char>(length >> 16U),
                      static_cast<char>(length >> 8U), static_cast<char>(length)};
    m_out.push_back(frame + body);
    if (!m_started) {
      m_started = true;
      asio::co_spawn(
          m_strand, [self = shared_from_this()]() -> Task<void> { co_await self->Run(); },
          asio::detached);
    } else if (m_connected && !m_writing) {
      StartWriting();
    }
  }

  Task<void> Run() {
    boost::system::error_code error;
    co_await m_socket.async_connect(m_endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      Fail(schema::CODE_PEER_UNREACHABLE, "cannot connect: " + error.message());
      co_return;
    }
    m_socket.set_option(Tcp::no_delay(true), error);
    m_connected = true;
    StartWriting();
    while (!m_closed) {
      std::array<unsigned char, 4> header{};
      co_await asio::async_read(m_socket, asio::buffer(header),
                                asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      const std::size_t size = (std::size_t{header[0]} << 24U) | (std::size_t{header[1]} << 16U) |
                               (std::size_t{header[2]} << 8U) | std::size_t{header[3]};
      if (size == 0 || size > kMaxPeerFrameBytes) break;
      std::string body(size, '\0');
      co_await asio::async_read(m_socket, asio::buffer(body),
                                asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      HandleResponse(body);
    }
    Fail(schema::CODE_CONNECTION_CLOSED, "the connection was closed before the answer");
  }

  void HandleResponse(const std::string& body) {
    if (const auto checked = CheckJsonText(body); !checked) {
      return Fail(checked.error().code, "the peer's answer: " + checked.error().message);
    }
    const auto message = nlohmann::json::parse(body, nullptr, false);
    if (!message.is_object()) return;
    const auto id = message.find("id");
    if (id == message.end() || !id->is_number_unsigned()) return;
    const auto found = m_pending.find(id->get<std::uint64_t>());
    if (found == m_pending.end()) return;
    PendingCall call = std::move(found->second);
    m_pending.erase(found);
    call.done(ParseResponse(message));
  }

  void StartWriting() {
    m_writing = true;
    asio::co_spawn(
        m_strand, [self = shared_from_this()]() -> Task<void> { co_await self->Write(); },
        asio::detached);
  }

  Task<void> Write() {
    while (!m_out.empty() && !m_closed) {
      const std::string frame = std::move(m_out.front());
      m_out.pop_front();
      boost::system::error_code error;
      co_await asio::async_write(m_socket, asio::buffer(frame),
                                 asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        Fail(schema::CODE_CONNECTION_CLOSED, "sending failed: " + error.message());
        break;
      }
    }
    m_writing = false;
  }

  void Fail(schema::Code code, const std::string& reason) {
    if (m_closed) return;
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    auto pending = std::move(m_pending);
    m_pending.clear();
    for (auto& [id, call] : pending) call.done(Error{code, reason});
  }

  asio::strand<asio::io_context::executor_type> m_strand;
  Tcp::socket m_socket;
  Tcp::endpoint m_endpoint;
  std::atomic<bool> m_closed{false};
  bool m_started = false;
  bool m_connected = false;
  bool m_writing = false;
  std::uint64_t m_last_id = 0;
  std::map<std::uint64_t, PendingCall> m_pending;
  std::deque<std::string> m_out;
};

struct PeerClient::Impl {
  explicit Impl(Runtime& runtime) : context(runtime.Context()) {}

  struct Shard {
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<PeerConnection>> connections;
  };

  asio::io_context& context;
  std::array<Shard, kStateShards> shards;

  Result<std::shared_ptr<PeerConnection>> Connection(const std::string& address) {
    Shard& shard = shards[std::hash<std::string>{}(address) % shards.size()];
    std::lock_guard lock(shard.mutex);
    auto& connection = shard.connections[address];
    if (!connection || connection->IsClosed()) {
      BOOST_OUTCOME_TRY(auto endpoint, ParseAddress(address));
      connection = std::make_shared<PeerConnection>(context, std::move(endpoint));
    }
    return connection;
  }
};

Result<std::unique_ptr<PeerClient>> PeerClient::Create(Runtime& runtime) {
  return std::unique_ptr<PeerClient>(new PeerClient(std::make_shared<Impl>(runtime)));
}

PeerClient::PeerClient(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

PeerClient::~PeerClient() = default;

void PeerClient::Call(const std::string& address, const std::string& method, std::string params,
                      std::chrono::milliseconds timeout,
                      std::function<void(Result<std::string>)> done) {
  auto connection = m_impl->Connection(address);
  if (!connection) {
    done(connection.error());
    return;
  }
  connection.value()->Call(method, params, timeout, std::move(done));
}

}  // namespace citronsill
