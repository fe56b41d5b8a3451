#include <boost/asio/ssl.hpp>

#include "citronsill/http.h"
#include "http_stream.h"
#include "internal.h"

namespace citronsill {
namespace {

namespace ssl = asio::ssl;
using boost::system::error_code;

class TlsHttpStream : public HttpStream {
 public:
  /// @param server_ip address that the server's certificate must name; empty on the server side.
  TlsHttpStream(Tcp::socket socket, std::shared_ptr<ssl::context> context, std::string server_ip)
      : m_context(std::move(context)),
        m_stream(std::move(socket), *m_context),
        m_server_ip(std::move(server_ip)) {}

  Tcp::socket& Socket() override { return m_stream.next_layer(); }

  void Handshake(Done done) override {
    if (m_server_ip.empty()) {
      m_stream.async_handshake(ssl::stream_base::server, std::move(done));
      return;
    }
    error_code error;
    m_stream.set_verify_callback(ssl::host_name_verification(m_server_ip), error);
    if (error) return done(error);
    m_stream.async_handshake(ssl::stream_base::client, std::move(done));
  }

  void ReadSome(asio::mutable_buffer buffer, ReadDone done) override {
    m_stream.async_read_some(buffer, std::move(done));
  }

  void Write(asio::const_buffer buffer, Done done) override {
    asio::async_write(m_stream, buffer,
                      [done = std::move(done)](error_code error, std::size_t) { done(error); });
  }

 private:
  std::shared_ptr<ssl::context> m_context;
  ssl::stream<Tcp::socket> m_stream;
  std::string m_server_ip;
};

Result<HttpStreamFactory> MakeServerTls(const std::string& certificate_file,
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
  return HttpStreamFactory([context](Tcp::socket socket) -> std::unique_ptr<HttpStream> {
    return std::make_unique<TlsHttpStream>(std::move(socket), context, "");
  });
}

Result<HttpStreamFactory> MakeClientTls(const std::string& ca_file, const std::string& ip) {
  auto context = std::make_shared<ssl::context>(ssl::context::tls_client);
  error_code error;
  context->load_verify_file(ca_file, error);
  if (error) {
    return Error{schema::CODE_SETTINGS_UNREADABLE,
                 "the certificate " + ca_file + " cannot be used: " + error.message()};
  }
  context->set_verify_mode(ssl::verify_peer, error);
  return HttpStreamFactory([context, ip](Tcp::socket socket) -> std::unique_ptr<HttpStream> {
    return std::make_unique<TlsHttpStream>(std::move(socket), context, ip);
  });
}

}  // namespace

void EnableHttpTls() {
  InstalledHttpTls().server = MakeServerTls;
  InstalledHttpTls().client = MakeClientTls;
}

}  // namespace citronsill
