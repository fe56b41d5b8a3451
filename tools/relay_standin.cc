// Stand-in of the network between instances: relays TCP connections and can lose traffic one way,
// both ways, or on the connections that are open now, while the connections themselves stay open.
#include <boost/program_options.hpp>
#include <iostream>
#include <mutex>

#include "citronsill/http.h"
#include "internal.h"

namespace options = boost::program_options;

namespace citronsill {
namespace {

// What happens to bytes. Forward is from the connecting side to the target.
enum class Loss { kNone, kForward, kBackward, kBoth };

struct Link {
  explicit Link(asio::io_context& context) : client(context), server(context) {}
  Tcp::socket client;
  Tcp::socket server;
  std::atomic<bool> silent{false};
};

class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(asio::io_context& context, Tcp::endpoint target)
      : m_context(context), m_acceptor(context), m_target(std::move(target)) {}

  bool Listen(const Tcp::endpoint& endpoint) {
    boost::system::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) m_acceptor.bind(endpoint, error);
    if (!error) m_acceptor.listen(64, error);
    if (error) return false;
    asio::co_spawn(
        m_context, [self = shared_from_this()]() -> Task<void> { co_await self->Accept(); },
        asio::detached);
    return true;
  }

  void SetLoss(Loss loss) { m_loss = loss; }

  void SilenceOpen() {
    std::lock_guard lock(m_mutex);
    for (const auto& weak : m_links) {
      if (auto link = weak.lock()) link->silent = true;
    }
  }

 private:
  Task<void> Accept() {
    while (true) {
      auto link = std::make_shared<Link>(m_context);
      boost::system::error_code error;
      co_await m_acceptor.async_accept(link->client,
                                       asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      {
        std::lock_guard lock(m_mutex);
        std::erase_if(m_links, [](const auto& weak) { return weak.expired(); });
        m_links.push_back(link);
      }
      asio::co_spawn(
          m_context,
          [self = shared_from_this(), link]() -> Task<void> { co_await self->Connect(link); },
          asio::detached);
    }
  }

  Task<void> Connect(std::shared_ptr<Link> link) {
    boost::system::error_code error;
    co_await link->server.async_connect(m_target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      link->client.close(error);
      co_return;
    }
    asio::co_spawn(
        m_context,
        [self = shared_from_this(), link]() -> Task<void> {
          co_await self->Copy(link, link->server, link->client, Loss::kBackward);
        },
        asio::detached);
    co_await Copy(link, link->client, link->server, Loss::kForward);
  }

  bool IsLost(const Link& link, Loss direction) const {
    const Loss loss = m_loss;
    return link.silent || loss == Loss::kBoth || loss == direction;
  }

  Task<void> Copy(std::shared_ptr<Link> link, Tcp::socket& from, Tcp::socket& to, Loss direction) {
    std::array<char, 16384> buffer{};
    boost::system::error_code error;
    while (!error) {
      const std::size_t size = co_await from.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
      if (error || IsLost(*link, direction)) continue;
      co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    link->client.close(error);
    link->server.close(error);
  }

  asio::io_context& m_context;
  Tcp::acceptor m_acceptor;
  Tcp::endpoint m_target;
  std::atomic<Loss> m_loss{Loss::kNone};
  std::mutex m_mutex;
  std::vector<std::weak_ptr<Link>> m_links;
};

// "/none", "/forward", "/backward", "/both" or "/silence"; "?N" names one relay, else all.
HttpResponse Control(const std::string& target, const std::vector<std::shared_ptr<Relay>>& relays) {
  const std::map<std::string, Loss> losses{{"/none", Loss::kNone},
                                           {"/forward", Loss::kForward},
                                           {"/backward", Loss::kBackward},
                                           {"/both", Loss::kBoth}};
  const std::size_t mark = target.find('?');
  const std::string command = target.substr(0, mark);
  HttpResponse response;
  for (std::size_t i = 0; i < relays.size(); ++i) {
    if (mark != std::string::npos && target.substr(mark + 1) != std::to_string(i)) continue;
    if (command == "/silence") {
      relays[i]->SilenceOpen();
    } else if (const auto found = losses.find(command); found != losses.end()) {
      relays[i]->SetLoss(found->second);
    } else {
      response.status = 404;
    }
  }
  return response;
}

int Serve(const std::string& control, const std::vector<std::string>& maps) {
  // One thread: the relay's sockets are not shared between threads.
  auto runtime = Runtime::Create(1);
  std::vector<std::shared_ptr<Relay>> relays;
  for (const std::string& map : maps) {
    const std::size_t mark = map.find('=');
    auto from = ParseAddress(map.substr(0, mark));
    auto to = ParseAddress(mark == std::string::npos ? "" : map.substr(mark + 1));
    if (!from || !to) {
      std::cerr << "relay_standin: \"" << map << "\" is not of the form IP:port=IP:port\n";
      return 2;
    }
    relays.push_back(std::make_shared<Relay>(runtime.value()->Context(), to.value()));
    if (!relays.back()->Listen(from.value())) {
      std::cerr << "relay_standin: cannot listen on " << map << '\n';
      return 1;
    }
  }
  HttpServerOptions server_options;
  server_options.address = control;
  auto server = HttpServer::Create(*runtime.value(), server_options,
                                   [&](const HttpRequest& request, const HttpReply& reply) {
                                     reply(Control(request.target, relays));
                                   });
  if (!server) {
    std::cerr << Describe(server.error()) << '\n';
    return 1;
  }
  runtime.value()->RunUntilTerminated();
  return 0;
}

}  // namespace
}  // namespace citronsill

int main(int argc, char** argv) {
  std::string control;
  std::vector<std::string> maps;
  options::options_description description("relay_standin: TCP relay that loses traffic on demand");
  auto add = description.add_options();
  add("help", "show this text");
  add("control", options::value(&control)->default_value("127.0.0.1:9900"), "IP:port for commands");
  add("map", options::value(&maps)->multitoken(), "IP:port=IP:port, listening address and target");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  return citronsill::Serve(control, maps);
}
