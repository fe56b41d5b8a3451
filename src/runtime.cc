#include "citronsill/runtime.h"

#include <atomic>
#include <future>
#include <random>

#include <fmt/format.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>
#include <vector>

#include "citronsill/guard.h"
#include "net.h"

namespace citronsill {

struct Runtime::Impl {
  explicit Impl(unsigned count)
      : thread_count(count),
        context(static_cast<int>(count)),
        signals(context),
        reload_signals(context) {}

  unsigned thread_count;
  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
  asio::signal_set signals;
  asio::signal_set reload_signals;
  std::vector<std::thread> threads;

  // An exception that escapes from an event ends `run`; the other events are still to be handled.
  void Run() {
    while (!RunGuarded("event", [this] { context.run(); })) {
    }
  }

  void WaitForSignal(const std::shared_ptr<std::function<void(int)>>& handler) {
    signals.async_wait([this, handler](boost::system::error_code error, int number) {
      if (error) return;
      (*handler)(number);
      WaitForSignal(handler);
    });
  }

  void WaitForReload(const std::shared_ptr<std::function<void()>>& handler) {
    reload_signals.async_wait([this, handler](boost::system::error_code error, int) {
      if (error) return;
      (*handler)();
      WaitForReload(handler);
    });
  }
};

Result<std::unique_ptr<Runtime>> Runtime::Create(unsigned threads) {
  if (threads < 1 || threads > 64) {
    return Error{schema::CODE_INVALID_FIELD,
                 "threads must be 1 to 64, not " + std::to_string(threads)};
  }
  return std::unique_ptr<Runtime>(new Runtime(threads));
}

Runtime::Runtime(unsigned threads) : m_impl(std::make_unique<Impl>(threads)) {}

Runtime::~Runtime() { Stop(); }

void Runtime::Start() {
  for (unsigned i = 0; i < m_impl->thread_count; ++i) {
    m_impl->threads.emplace_back([this] { m_impl->Run(); });
  }
}

void Runtime::Run() { m_impl->Run(); }

void Runtime::Stop() {
  m_impl->work.reset();
  m_impl->context.stop();
  for (std::thread& thread : m_impl->threads) thread.join();
  m_impl->threads.clear();
}

void Runtime::Post(std::function<void()> work) { asio::post(m_impl->context, std::move(work)); }

void Runtime::OnTerminate(std::function<void(int)> handler) {
  m_impl->signals.add(SIGINT);
  m_impl->signals.add(SIGTERM);
  m_impl->WaitForSignal(std::make_shared<std::function<void(int)>>(std::move(handler)));
}

void Runtime::OnReload(std::function<void()> handler) {
  m_impl->reload_signals.add(SIGHUP);
  m_impl->WaitForReload(std::make_shared<std::function<void()>>(std::move(handler)));
}

void Runtime::RunUntilTerminated() {
  std::promise<void> terminated;
  std::atomic<bool> seen{false};
  OnTerminate([&](int) {
    if (!seen.exchange(true)) terminated.set_value();
  });
  Start();
  terminated.get_future().wait();
  Stop();
}

asio::io_context& Runtime::Context() { return m_impl->context; }

Result<Tcp::endpoint> ParseAddress(const std::string& address) {
  const auto invalid = [&] {
    return Error{schema::CODE_INVALID_FIELD, "\"" + address + "\" is not of the form IP:port"};
  };
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon + 1 == address.size()) return invalid();
  const std::string port_text = address.substr(colon + 1);
  if (port_text.size() > 5 || port_text.find_first_not_of("0123456789") != std::string::npos) {
    return invalid();
  }
  const unsigned long port = std::stoul(port_text);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error || port > 65535) return invalid();
  return Tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

Result<void> Listen(Tcp::acceptor* acceptor, const std::string& address,
                    const ListenOptions& options) {
  BOOST_OUTCOME_TRY(auto endpoint, ParseAddress(address));
  boost::system::error_code error;
  acceptor->open(endpoint.protocol(), error);
  if (!error) acceptor->set_option(asio::socket_base::reuse_address(true), error);
  using SocketBase = asio::socket_base;
  SetBufferSize<SocketBase::receive_buffer_size>(acceptor, options.receive_buffer_bytes);
  SetBufferSize<SocketBase::send_buffer_size>(acceptor, options.send_buffer_bytes);
  if (!error) acceptor->bind(endpoint, error);
  const int backlog = options.max_pending > 0 ? static_cast<int>(options.max_pending)
                                              : SocketBase::max_listen_connections;
  if (!error) acceptor->listen(backlog, error);
  if (error) {
    return Error{schema::CODE_SETTINGS_INVALID,
                 "cannot listen on " + address + ": " + error.message()};
  }
  return Success();
}

std::uint64_t RandomId() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string Hex64(std::uint64_t value) { return fmt::format("{:016x}", value); }

}  // namespace citronsill
