#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "internal.h"

namespace citronsill {

namespace http = beast::http;
namespace ssl = asio::ssl;

using boost::system::error_code;

Result<std::shared_ptr<ssl::context>> MakeServerTls(const std::string& certificate_file,
                                                    const std::string& key_file) {
  auto context = std::make_shared<ssl::context>(ssl::context::tls_server);
  error_code error;
  context->set_options(
      ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1, error);
  if (!error) context->use_certificate_chain_file(certificate_file, error);
  if (error) {
    return Error{schema::CODE_SETTINGS_UNREADABLE,
                 "the certificate " + certificate_file + " cannot be used: " + error.message()};
  }
  context->use_private_key_file(key_file, ssl::context::pem, error);
  if (error) {
    return Error{schema::CODE_SETTINGS_UNREADABLE,
                 "the key " + key_file + " cannot be used: " + error.message()};
  }
  return context;
}

Result<std::shared_ptr<ssl::context>> MakeClientTls(const std::string& ca_file) {
  auto context = std::make_shared<ssl::context>(ssl::context::tls_client);
  error_code error;
  context->load_verify_file(ca_file, error);
  if (error) {
    return Error{schema::CODE_SETTINGS_UNREADABLE,
                 "the certificate " + ca_file + " cannot be used: " + error.message()};
  }
  context->set_verify_mode(ssl::verify_peer, error);
  return context;
}

struct HttpChannel::Impl {
  std::optional<beast::tcp_stream> plain;
  std::optional<beast::ssl_stream<beast::tcp_stream>> secure;
};

HttpChannel::HttpChannel(Tcp::socket socket, ssl::context* tls) : m_impl(std::make_unique<Impl>()) {
  if (tls == nullptr) {
    m_impl->plain.emplace(std::move(socket));
  } else {
    m_impl->secure.emplace(std::move(socket), *tls);
  }
}

HttpChannel::~HttpChannel() = default;

beast::tcp_stream& HttpChannel::Lowest() {
  return m_impl->plain ? *m_impl->plain : m_impl->secure->next_layer();
}

Task<error_code> HttpChannel::HandshakeAsServer() {
  error_code error;
  if (m_impl->secure) {
    co_await m_impl->secure->async_handshake(ssl::stream_base::server,
                                             asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

Task<error_code> HttpChannel::HandshakeAsClient(const std::string& ip) {
  error_code error;
  if (m_impl->secure) {
    m_impl->secure->set_verify_callback(ssl::host_name_verification(ip), error);
    if (error) co_return error;
    co_await m_impl->secure->async_handshake(ssl::stream_base::client,
                                             asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

Task<error_code> HttpChannel::ReadHeader(beast::flat_buffer& buffer, RequestParser& parser) {
  error_code error;
  if (m_impl->secure) {
    co_await http::async_read_header(*m_impl->secure, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
  } else {
    co_await http::async_read_header(*m_impl->plain, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

Task<error_code> HttpChannel::Read(beast::flat_buffer& buffer, RequestParser& parser) {
  error_code error;
  if (m_impl->secure) {
    co_await http::async_read(*m_impl->secure, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
  } else {
    co_await http::async_read(*m_impl->plain, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

Task<error_code> HttpChannel::Read(beast::flat_buffer& buffer, ResponseParser& parser) {
  error_code error;
  if (m_impl->secure) {
    co_await http::async_read(*m_impl->secure, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
  } else {
    co_await http::async_read(*m_impl->plain, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

Task<error_code> HttpChannel::Write(Request& message) {
  error_code error;
  if (m_impl->secure) {
    co_await http::async_write(*m_impl->secure, message,
                               asio::redirect_error(asio::use_awaitable, error));
  } else {
    co_await http::async_write(*m_impl->plain, message,
                               asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

Task<error_code> HttpChannel::Write(Response& message) {
  error_code error;
  if (m_impl->secure) {
    co_await http::async_write(*m_impl->secure, message,
                               asio::redirect_error(asio::use_awaitable, error));
  } else {
    co_await http::async_write(*m_impl->plain, message,
                               asio::redirect_error(asio::use_awaitable, error));
  }
  co_return error;
}

}  // namespace citronsill
