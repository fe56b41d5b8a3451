#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/common/specification.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include "citronsill/peer.h"
#include "internal.h"

namespace citronsill {
namespace {

// Passes one request and its response between the transport and libjsonrpccpp.
class FrameConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* add_info) override {
    *static_cast<std::string*>(add_info) = response;
    return true;
  }
};

class RpcDispatcher : public jsonrpc::IProcedureInvokationHandler {
 public:
  RpcDispatcher()
      : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                         *this)) {
    m_connector.SetHandler(m_protocol.get());
  }

  void Add(const std::string& method, PeerServer::Handler handler) {
    m_protocol->AddProcedure(
        jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    m_handlers.emplace(method, std::move(handler));
  }

  std::string Handle(const std::string& request) {
    // The library's parser throws on deep nesting and accepts text that is not UTF-8.
    if (const auto checked = CheckJsonText(request); !checked) {
      Json::Value error(Json::objectValue);
      error["jsonrpc"] = "2.0";
      error["id"] = Json::Value();
      error["error"]["code"] = static_cast<int>(checked.error().code);
      error["error"]["message"] = checked.error().message;
      return Json::FastWriter().write(error);
    }
    std::string response;
    m_connector.OnRequest(request, &response);
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    const auto found = m_handlers.find(procedure.GetProcedureName());
    if (found == m_handlers.end()) return;
    Json::FastWriter writer;
    const Result<std::string> result = found->second(writer.write(input));
    output = Json::Value(Json::objectValue);
    if (!result) {
      // The library's own error type does not compile as C++17, so errors are returned in the
      // result.
      output["error"]["code"] = static_cast<int>(result.error().code);
      output["error"]["message"] = result.error().message;
      return;
    }
    Json::Reader reader;
    reader.parse(result.value(), output["value"]);
  }

  void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

 private:
  FrameConnector m_connector;
  std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
  std::map<std::string, PeerServer::Handler> m_handlers;
};

struct Session {
  explicit Session(Tcp::socket socket) : stream(std::move(socket)) {}
  beast::tcp_stream stream;
};

}  // namespace

struct PeerServer::Impl : std::enable_shared_from_this<Impl> {
  explicit Impl(Runtime& runtime) : context(runtime.Context()), acceptor(context) {}

  asio::io_context& context;
  Tcp::acceptor acceptor;
  RpcDispatcher dispatcher;
  std::atomic<std::size_t> connections{0};

  Task<void> Accept() {
    while (acceptor.is_open()) {
      boost::system::error_code error;
      Tcp::socket socket(asio::make_strand(context));
      co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
      if (error == asio::error::operation_aborted) co_return;
      if (error) {
        // Without a wait, accept would spin while out of file descriptors.
        co_await Sleep(std::chrono::milliseconds(50));
        continue;
      }
      if (connections >= kMaxPeerConnections) continue;
      ++connections;
      socket.set_option(Tcp::no_delay(true), error);
      auto executor = socket.get_executor();
      auto session = std::make_shared<Session>(std::move(socket));
      asio::co_spawn(
          executor,
          [self = shared_from_this(), session]() -> Task<void> {
            co_await self->Serve(session);
            --self->connections;
          },
          asio::detached);
    }
  }

  Task<void> Serve(std::shared_ptr<Session> session) {
    while (true) {
      boost::system::error_code error;
      std::array<unsigned char, 4> header{};
      session->stream.expires_after(kPeerIdleTimeout);
      co_await asio::async_read(session->stream, asio::buffer(header),
                                asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      const std::size_t size = (std::size_t{header[0]} << 24U) | (std::size_t{header[1]} << 16U) |
                               (std::size_t{header[2]} << 8U) | std::size_t{header[3]};
      if (size == 0 || size > kMaxPeerFrameBytes) {
        spdlog::warn("event=peer_frame_rejected code={} size={}",
                     static_cast<int>(schema::CODE_TOO_LARGE), size);
        co_return;
      }
      std::string request(size, '\0');
      session->stream.expires_after(kHttpReadTimeout);
      co_await asio::async_read(session->stream, asio::buffer(request),
                                asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      const std::string response = dispatcher.Handle(request);
      const auto length = static_cast<std::uint32_t>(response.size());
      header = {static_cast<unsigned char>(length >> 24U),
                static_cast<unsigned char>(length >> 16U), static_cast<unsigned char>(length >> 8U),
                static_cast<unsigned char>(length)};
      const std::array<asio::const_buffer, 2> buffers{asio::buffer(header), asio::buffer(response)};
      session->stream.expires_after(kHttpWriteTimeout);
      co_await asio::async_write(session->stream, buffers,
                                 asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
    }
  }
};

Result<std::unique_ptr<PeerServer>> PeerServer::Create(Runtime& runtime,
                                                       const std::string& address) {
  auto impl = std::make_shared<Impl>(runtime);
  BOOST_OUTCOME_TRY(auto endpoint, ParseAddress(address));
  boost::system::error_code error;
  impl->acceptor.open(endpoint.protocol(), error);
  if (!error) impl->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) impl->acceptor.bind(endpoint, error);
  if (!error) impl->acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Error{schema::CODE_SETTINGS_INVALID,
                 "cannot listen on " + address + ": " + error.message()};
  }
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

PeerServer::PeerServer(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

PeerServer::~PeerServer() { Close(); }

void PeerServer::Handle(const std::string& method, Handler handler) {
  m_impl->dispatcher.Add(method, std::move(handler));
}

void PeerServer::Start() {
  asio::co_spawn(
      m_impl->context, [impl = m_impl]() -> Task<void> { co_await impl->Accept(); },
      asio::detached);
}

void PeerServer::Close() {
  asio::post(m_impl->context, [impl = m_impl] {
    boost::system::error_code ignored;
    impl->acceptor.close(ignored);
  });
}

std::uint16_t PeerServer::Port() const { return m_impl->acceptor.local_endpoint().port(); }

}  // namespace citronsill
