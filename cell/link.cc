#include "cell/link.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cell/limits.h"
#include "cell/log.h"
#include "citronsill/guard.h"
#include "net.h"

namespace citronsill {

using boost::system::error_code;

namespace {

constexpr std::size_t kFrameHeaderBytes = 4;
constexpr std::size_t kReadBytes = 16U << 10;
// A `Hello` has a few names and addresses, each of at most 200 bytes.
constexpr std::size_t kMaxHelloBytes = 16U << 10;
// Memory of a link that has received nothing, as the budget counts it: the buffer that it reads
// into and its state.
constexpr std::size_t kIdleLinkBytes = kReadBytes + (2U << 10);
// A link whose peer is known may be closed for its memory only while it holds more than this of a
// message that has not arrived whole. It keeps a buffer of up to this size.
constexpr std::size_t kLargeFrameBytes = 64U << 10;

// While too much waits to be written, a peer that takes nothing for this long does not read.
constexpr milliseconds kStuckAfter{200};
// How often such peers are looked for.
constexpr milliseconds kQueueCheckPeriod{20};

// Limits how long sent data may stay unacknowledged: a machine that lost power does not reset its
// connections.
void SetUserTimeout(Tcp::socket* socket, milliseconds timeout) {
  const auto value = static_cast<int>(timeout.count());
  ::setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

}  // namespace

struct LinkService::Impl : std::enable_shared_from_this<Impl> {
  class Connection;

  Impl(Runtime& runtime, TimerService& timer_service, schema::Hello hello, LinkHooks link_hooks,
       LinkLimits link_limits)
      : context(runtime.Context()),
        timers(timer_service),
        acceptor(context),
        accept_retry_timer(context),
        self(std::move(hello)),
        hooks(std::move(link_hooks)),
        limits(std::move(link_limits)) {
    if (!limits.budget) {
      limits.budget = std::make_shared<ConnectionBudget>(ConnectionBudgetLimits{});
    }
    accepted->max_connections = limits.max_accepted;
  }

  asio::io_context& context;
  TimerService& timers;
  Tcp::acceptor acceptor;
  asio::steady_timer accept_retry_timer;
  schema::Hello self;
  LinkHooks hooks;
  LinkLimits limits;
  std::shared_ptr<ConnectionGroup> accepted = std::make_shared<ConnectionGroup>();
  std::unordered_set<std::shared_ptr<Connection>> connections;
  SteadyTime next_queue_check{};
  std::size_t queued_bytes = 0;  // That wait to be written, on all links.
  TimerId maintain_timer;
  bool stopping = false;

  void Accept();
  void Add(const std::shared_ptr<Connection>& connection);
  void MaintainAll();
  void AddQueued(std::size_t bytes);
  void ReportLimit(std::string_view limit) const {
    if (limits.on_limit) limits.on_limit(limit);
  }
};

class LinkService::Impl::Connection : public Link, public std::enable_shared_from_this<Connection> {
 public:
  Connection(const std::shared_ptr<Impl>& service, Tcp::socket socket)
      : m_service(service), m_socket(std::move(socket)), m_heard(BootNow()) {}

  void Send(schema::LinkMessage message) override {
    if (m_closed || m_is_evicted) return;
    const std::size_t size = message.ByteSizeLong();
    if (size > kMaxLinkFrameBytes) {
      Log(LogLevel::kError, "link-message-too-large")
          .Field("peer", m_peer.instance())
          .Field("bytes", size);
      return;
    }
    if (m_out.size() + size > kMaxLinkQueueBytes)
      return Close("the send queue is full: the peer does not read");
    const auto length = static_cast<std::uint32_t>(size);
    for (int shift = 24; shift >= 0; shift -= 8) {
      m_out.push_back(static_cast<char>(length >> static_cast<unsigned>(shift)));
    }
    message.AppendToString(&m_out);
    if (m_connected && !m_writing) Flush();
    if (const auto service = m_service.lock()) service->AddQueued(kFrameHeaderBytes + size);
  }

  void Call(schema::LinkMessage message, milliseconds timeout, Reply done) override {
    if (m_closed) return done(Error{schema::CODE_CONNECTION_CLOSED, "the link is closed"});
    const std::uint64_t id = ++m_last_call;
    message.set_call(id);
    m_calls[id] = PendingCall{std::move(done), BootNow() + timeout};
    Send(std::move(message));
  }

  void Answer(const schema::LinkMessage& call, schema::LinkMessage reply) override {
    reply.set_reply_to(call.call());
    Send(std::move(reply));
  }

  void Close(const std::string& reason) override {
    if (m_closed) return;
    m_closed = true;
    m_share.reset();
    TakeFromQueued(QueuedBytes());
    error_code ignored;
    m_socket.close(ignored);
    const std::shared_ptr<Connection> self = shared_from_this();
    std::unordered_map<std::uint64_t, PendingCall> calls;
    calls.swap(m_calls);
    for (auto& [id, pending] : calls) {
      pending.done(Error{schema::CODE_CONNECTION_CLOSED, "the link was closed: " + reason});
    }
    if (const auto service = m_service.lock()) {
      service->connections.erase(self);
      service->hooks.on_closed(self, reason);
    }
  }

  [[nodiscard]] SteadyTime Heard() const override { return m_heard; }
  [[nodiscard]] bool IsOpen() const override { return !m_closed && !m_peer.instance().empty(); }
  [[nodiscard]] bool IsReceiving() const override {
    return m_unparsed_bytes > 0 && BootNow() <= m_heard + kMaxPartGap;
  }
  [[nodiscard]] const schema::Hello& Peer() const override { return m_peer; }
  [[nodiscard]] const schema::Ping& LastPing() const override { return m_last_ping; }

  // @returns bytes that wait to be written or are being written.
  [[nodiscard]] std::size_t QueuedBytes() const { return m_out.size() + m_sending.size(); }

  // @returns whether the peer has taken nothing for a while of what is being written.
  [[nodiscard]] bool IsStuck(SteadyTime now) const {
    return m_writing && !m_is_evicted && now - m_progress >= kStuckAfter;
  }

  // Closes the link, not in the middle of what another one does.
  void Evict(const char* limit) {
    m_is_evicted = true;
    ReportLimit(limit);
    asio::post(m_socket.get_executor(),
               [self = shared_from_this()] { self->Close("the limits of links are exceeded"); });
  }

  // To be called when the socket is connected.
  void OnConnected() {
    error_code ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    SetUserTimeout(&m_socket, kLinkSilence);
    m_connected = true;
    m_heard = BootNow();
    m_connected_at = m_heard;
    if (const auto service = m_service.lock()) {
      schema::LinkMessage hello;
      *hello.mutable_hello() = service->self;
      // `Hello` must precede everything that was queued while connecting.
      std::string queued;
      queued.swap(m_out);
      Send(std::move(hello));
      m_out.append(queued);
    }
    Read();
  }

  // Joins the budget, as a link that was accepted. @returns false when there is no room.
  bool JoinBudget(const Impl& service) {
    m_idle_bytes = kIdleLinkBytes + service.limits.listen.MaxUnreadBytes();
    m_share = service.limits.budget->Join(service.accepted, m_idle_bytes,
                                          std::chrono::steady_clock::now(),
                                          [weak = weak_from_this()](const Eviction&) {
                                            if (const auto evicted = weak.lock(); evicted)
                                              evicted->OnEvict();
                                          });
    return m_share != nullptr;
  }

  // @param listen options of the links of this instance; those it opens have the same buffer.
  void Connect(const Tcp::endpoint& endpoint, const ListenOptions& listen) {
    error_code ignored;
    m_socket.open(endpoint.protocol(), ignored);
    SetBufferSize<asio::socket_base::receive_buffer_size>(&m_socket, listen.receive_buffer_bytes);
    SetBufferSize<asio::socket_base::send_buffer_size>(&m_socket, listen.send_buffer_bytes);
    m_socket.async_connect(endpoint, [self = shared_from_this()](error_code error) {
      if (self->m_closed) return;
      if (error) return self->Close("cannot connect: " + error.message());
      self->OnConnected();
    });
  }

  // Closes the link if the peer is silent, fails calls that are past their deadline, and sends a
  // ping when one is due.
  void Maintain() {
    const SteadyTime now = BootNow();
    if (now > m_heard + kLinkSilence) return Close("silent");
    // A client that sends a byte at a time is not silent.
    if (m_connected && !IsOpen() && now > m_connected_at + kLinkSilence) {
      ReportLimit("link-hello");
      return Close("no Hello");
    }
    std::vector<Reply> expired;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
      if (it->second.deadline > now) {
        ++it;
        continue;
      }
      expired.push_back(std::move(it->second.done));
      it = m_calls.erase(it);
    }
    for (const Reply& done : expired) {
      done(Error{schema::CODE_TIMEOUT, "no reply from " + m_peer.instance() + " in time"});
    }
    const auto service = m_service.lock();
    if (!service || m_closed || !IsOpen() || now < m_last_ping_sent + m_ping_period) return;
    m_last_ping_sent = now;
    schema::LinkMessage message;
    *message.mutable_ping() = service->hooks.make_ping(shared_from_this());
    m_ping_period = milliseconds(message.ping().period_ms());
    Send(std::move(message));
  }

 private:
  struct PendingCall {
    Reply done;
    SteadyTime deadline;
  };

  // Writes after the current turn of the event loop, so that messages sent in it are combined.
  void Flush() {
    m_writing = true;
    m_progress = BootNow();
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
      if (self->m_closed) return;
      self->m_sending.swap(self->m_out);
      self->m_out.clear();
      self->Write(0);
    });
  }

  // Writes what is left of the bytes that are being sent. @param written the number written so far.
  void Write(std::size_t written) {
    m_socket.async_write_some(
        asio::buffer(m_sending) + written,
        [self = shared_from_this(), written](error_code error, std::size_t bytes) {
          if (self->m_closed) return;
          if (error) return self->Close("cannot write: " + error.message());
          self->m_progress = BootNow();
          if (written + bytes < self->m_sending.size()) return self->Write(written + bytes);
          self->OnWritten();
        });
  }

  void OnWritten() {
    TakeFromQueued(m_sending.size());
    m_sending.clear();
    if (m_sending.capacity() > 2 * kLargeFrameBytes) m_sending.shrink_to_fit();
    m_writing = false;
    if (!m_out.empty()) Flush();
  }

  void TakeFromQueued(std::size_t bytes) const {
    if (const auto service = m_service.lock()) service->queued_bytes -= bytes;
  }

  void Read() {
    const std::size_t filled = m_in.size();
    m_in.resize(filled + kReadBytes);
    m_socket.async_read_some(
        asio::buffer(m_in.data() + filled, kReadBytes),
        [self = shared_from_this(), filled](error_code error, std::size_t bytes) {
          if (self->m_closed) return;
          self->m_in.resize(filled + bytes);
          if (error) return self->Close("cannot read: " + error.message());
          self->m_heard = BootNow();
          if (self->ParseFrames()) self->Read();
        });
  }

  // Handles all complete frames in the input. @returns false when the link was closed meanwhile.
  bool ParseFrames() {
    std::size_t offset = 0;
    while (m_in.size() - offset >= kFrameHeaderBytes) {
      std::uint32_t length = 0;
      for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
        length = (length << 8U) | static_cast<unsigned char>(m_in[offset + i]);
      }
      if (length > (IsOpen() ? kMaxLinkFrameBytes : kMaxHelloBytes)) {
        ReportLimit("link-frame");
        Close("a received frame exceeds the size limit");
        return false;
      }
      if (m_in.size() - offset - kFrameHeaderBytes < length) break;
      schema::LinkMessage message;
      if (!message.ParseFromArray(m_in.data() + offset + kFrameHeaderBytes,
                                  static_cast<int>(length))) {
        Close("a received frame is not a valid message");
        return false;
      }
      offset += kFrameHeaderBytes + length;
      if (!RunGuarded("link-message", [&] { HandleMessage(message); })) {
        Close("a message could not be handled");
      }
      if (m_closed) return false;
    }
    m_in.erase(0, offset);
    m_unparsed_bytes = m_in.size();
    if (m_in.size() <= kLargeFrameBytes && m_in.capacity() > 2 * kLargeFrameBytes) {
      m_in.shrink_to_fit();
    }
    return UpdateBudget();
  }

  // Tells the budget what the link holds. A known peer without part of a large message is not
  // evicted. @returns false when the link was closed.
  bool UpdateBudget() {
    if (!m_share) return true;
    const bool is_large = m_in.size() > kLargeFrameBytes;
    if (!is_large && !m_is_large && IsOpen() == m_is_known) return true;
    m_is_large = is_large;
    m_is_known = IsOpen();
    const ConnectionState state = is_large     ? ConnectionState::kReading
                                  : m_is_known ? ConnectionState::kAnswering
                                               : ConnectionState::kIdle;
    if (m_share->Set(state, m_idle_bytes + m_in.capacity(), std::chrono::steady_clock::now())) {
      return true;
    }
    OnEvict();
    return false;
  }

  void OnEvict() { Evict("link-evicted"); }

  void ReportLimit(std::string_view limit) const {
    if (const auto service = m_service.lock()) service->ReportLimit(limit);
  }

  void HandleMessage(const schema::LinkMessage& message) {
    const auto service = m_service.lock();
    if (!service) return;
    if (message.has_hello()) {
      m_peer = message.hello();
      return service->hooks.on_open(shared_from_this());
    }
    if (message.has_ping()) {
      m_last_ping = message.ping();
      return service->hooks.on_ping(shared_from_this(), m_last_ping);
    }
    if (message.reply_to() != 0) {
      auto node = m_calls.extract(message.reply_to());
      if (!node.empty()) node.mapped().done(message);
      return;
    }
    service->hooks.on_message(shared_from_this(), message);
  }

  std::weak_ptr<Impl> m_service;
  Tcp::socket m_socket;
  schema::Hello m_peer;
  schema::Ping m_last_ping;
  SteadyTime m_heard;
  SteadyTime m_last_ping_sent{};
  milliseconds m_ping_period{0};
  std::string m_in;
  std::size_t m_unparsed_bytes = 0;  // Of a message that has not arrived whole.
  std::string m_out;
  std::string m_sending;
  std::unordered_map<std::uint64_t, PendingCall> m_calls;
  std::uint64_t m_last_call = 0;
  SteadyTime m_connected_at{};
  std::unique_ptr<ConnectionBudget::Share> m_share;  // Null for links that this instance opened.
  std::size_t m_idle_bytes = 0;  // What the budget counts for the link without a message.
  bool m_is_large = false;       // The budget knows that the link holds part of a large message.
  bool m_is_known = false;       // The budget knows that the `Hello` has arrived.
  bool m_connected = false;
  bool m_writing = false;
  SteadyTime m_progress{};    // When the peer last took bytes, or writing began.
  bool m_is_evicted = false;  // About to be closed.
  bool m_closed = false;
};

void LinkService::Impl::Accept() {
  acceptor.async_accept([self = shared_from_this()](error_code error, Tcp::socket socket) {
    if (error == asio::error::operation_aborted || self->stopping) return;
    if (error) {
      // Most likely out of file descriptors. The pause avoids a busy loop on accept.
      self->accept_retry_timer.expires_after(kAcceptRetry);
      self->accept_retry_timer.async_wait([self](error_code) { self->Accept(); });
      return;
    }
    auto connection = std::make_shared<Connection>(self, std::move(socket));
    if (connection->JoinBudget(*self)) {
      self->Add(connection);
      connection->OnConnected();
    } else {
      self->ReportLimit("links");
    }
    self->Accept();
  });
}

void LinkService::Impl::Add(const std::shared_ptr<Connection>& connection) {
  connections.insert(connection);
}

// While too much waits to be written, closes the link with most of it whose peer does not read.
void LinkService::Impl::AddQueued(std::size_t bytes) {
  queued_bytes += bytes;
  if (queued_bytes <= limits.max_queued_bytes) return;
  const SteadyTime now = BootNow();
  if (now < next_queue_check) return;
  next_queue_check = now + kQueueCheckPeriod;
  std::vector<std::shared_ptr<Connection>> stuck;
  for (const auto& connection : connections) {
    if (connection->IsStuck(now)) stuck.push_back(connection);
  }
  std::sort(stuck.begin(), stuck.end(),
            [](const auto& a, const auto& b) { return a->QueuedBytes() > b->QueuedBytes(); });
  std::size_t left = queued_bytes;
  for (const auto& connection : stuck) {
    if (left <= limits.max_queued_bytes) return;
    left -= connection->QueuedBytes();
    connection->Evict("link-unread");
  }
}

void LinkService::Impl::MaintainAll() {
  const std::vector<std::shared_ptr<Connection>> open(connections.begin(), connections.end());
  for (const auto& connection : open) connection->Maintain();
}

Result<std::unique_ptr<LinkService>> LinkService::Create(Runtime& runtime, TimerService& timers,
                                                         const std::string& address,
                                                         schema::Hello self, LinkHooks hooks,
                                                         LinkLimits limits) {
  auto impl =
      std::make_shared<Impl>(runtime, timers, std::move(self), std::move(hooks), std::move(limits));
  BOOST_OUTCOME_TRY(Listen(&impl->acceptor, address, impl->limits.listen));
  impl->Accept();
  impl->maintain_timer =
      timers.Every(kLinkMaintenancePeriod, [weak = std::weak_ptr(impl)](SteadyTime) {
        if (const auto service = weak.lock()) service->MaintainAll();
      });
  return std::unique_ptr<LinkService>(new LinkService(std::move(impl)));
}

LinkService::LinkService(std::shared_ptr<Impl> impl) : m_impl(std::move(impl)) {}

LinkService::~LinkService() {
  m_impl->timers.Cancel(m_impl->maintain_timer);
  StopListening();
}

LinkPtr LinkService::Connect(const std::string& address) {
  auto connection = std::make_shared<Impl::Connection>(m_impl, Tcp::socket(m_impl->context));
  m_impl->Add(connection);
  if (auto endpoint = ParseAddress(address); endpoint) {
    connection->Connect(endpoint.value(), m_impl->limits.listen);
  } else {
    asio::post(m_impl->context,
               [connection, reason = endpoint.error().message] { connection->Close(reason); });
  }
  return connection;
}

void LinkService::ForEach(const std::function<void(const LinkPtr&)>& visit) const {
  const std::vector<LinkPtr> open(m_impl->connections.begin(), m_impl->connections.end());
  for (const LinkPtr& link : open) {
    if (link->IsOpen()) visit(link);
  }
}

void LinkService::StopListening() {
  m_impl->stopping = true;
  error_code ignored;
  m_impl->acceptor.close(ignored);
}

}  // namespace citronsill
