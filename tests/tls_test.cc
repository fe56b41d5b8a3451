#include <doctest/doctest.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <future>
#include <memory>

#include "citronsill/client.h"
#include "schema/citronsill.pb.h"

namespace citronsill {
namespace {

// A self-signed certificate for one IP address, in a temporary directory.
class Certificate {
 public:
  explicit Certificate(const std::string& name, const std::string& ip)
      : m_folder(std::filesystem::temp_directory_path() /
                 ("citronsill-tls-" + std::to_string(getpid()) + "-" + name)) {
    std::filesystem::create_directories(m_folder);
    const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"),
                                                                  EVP_PKEY_free);
    const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), X509_free);
    X509* x509 = certificate.get();
    X509_set_version(x509, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
    X509_gmtime_adj(X509_getm_notBefore(x509), -60);
    X509_gmtime_adj(X509_getm_notAfter(x509), 3600);
    X509_set_pubkey(x509, key.get());
    X509_NAME* subject = X509_get_subject_name(x509);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(x509, subject);
    X509_EXTENSION* address =
        X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, ("IP:" + ip).c_str());
    X509_add_ext(x509, address, -1);
    X509_EXTENSION_free(address);
    X509_sign(x509, key.get(), EVP_sha256());
    Write(CertificateFile(), [&](std::FILE* file) { PEM_write_X509(file, x509); });
    Write(KeyFile(), [&](std::FILE* file) {
      PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    });
  }
  ~Certificate() { std::filesystem::remove_all(m_folder); }
  Certificate(const Certificate&) = delete;
  Certificate& operator=(const Certificate&) = delete;

  [[nodiscard]] std::string CertificateFile() const { return (m_folder / "cert.pem").string(); }
  [[nodiscard]] std::string KeyFile() const { return (m_folder / "key.pem").string(); }

 private:
  template <class Writer>
  static void Write(const std::string& path, Writer writer) {
    std::FILE* file = std::fopen(path.c_str(), "w");
    REQUIRE(file != nullptr);
    writer(file);
    std::fclose(file);
  }

  std::filesystem::path m_folder;
};

}  // namespace

// Guards against callers who talk to a server that they do not trust, and against a server that
// answers without TLS although its settings require it.
TEST_CASE("tls: clients accept only a server with a trusted certificate for its address") {
  EnableHttpTls();
  const Certificate trusted("trusted", "127.0.0.1");
  const Certificate other("other", "127.0.0.1");
  const Certificate elsewhere("elsewhere", "127.0.0.9");
  auto runtime = std::move(Runtime::Create(1).value());
  runtime->Start();
  const auto call = [&](const Certificate& server_side, const std::string& ca_file) {
    HttpServerOptions options;
    options.address = "127.0.0.1:0";
    options.tls_certificate_file = server_side.CertificateFile();
    options.tls_key_file = server_side.KeyFile();
    auto server = std::move(
        HttpServer::Create(*runtime, options, [](const HttpRequest&, const HttpReply& reply) {
          reply(HttpResponse{});
        }).value());
    ClientOptions client_options;
    client_options.servers = {"127.0.0.1:" + std::to_string(server->Port())};
    client_options.tls_ca_file = ca_file;
    auto client = std::move(Client::Create(*runtime, client_options).value());
    auto promise = std::make_shared<std::promise<schema::Code>>();
    client->Send(HttpRequest{}, std::chrono::seconds(30), RetryPolicy::kNever,
                 [promise](const Result<HttpResponse>& response) {
                   promise->set_value(response ? schema::CODE_OK : response.error().code);
                 });
    return promise->get_future().get();
  };
  CHECK(call(trusted, trusted.CertificateFile()) == schema::CODE_OK);
  CHECK(call(trusted, other.CertificateFile()) == schema::CODE_PEER_UNREACHABLE);
  CHECK(call(elsewhere, elsewhere.CertificateFile()) == schema::CODE_PEER_UNREACHABLE);
  CHECK(call(trusted, "") != schema::CODE_OK);
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  options.tls_certificate_file = trusted.CertificateFile();
  options.tls_key_file = other.KeyFile();
  CHECK(HttpServer::Create(*runtime, options, nullptr).error().code ==
        schema::CODE_SETTINGS_UNREADABLE);
  runtime->Stop();
}

}  // namespace citronsill
