#include "citronsill/directory.h"
#include "citronsill/http.h"
#include "internal.h"

namespace citronsill {
namespace {

class HttpDirectory : public InstanceDirectory {
 public:
  explicit HttpDirectory(std::unique_ptr<HttpClient> client) : m_client(std::move(client)) {}

  void List(std::function<void(Result<schema::Directory>)> done) override {
    HttpRequest request;
    request.target = "/directory";
    m_client->Send(std::move(request), kDirectoryTimeout, [done](Result<HttpResponse> response) {
      if (!response || response.value().status != 200) {
        return done(Error{schema::CODE_DIRECTORY_UNAVAILABLE,
                          response ? "the directory answered with status " +
                                         std::to_string(response.value().status)
                                   : response.error().message});
      }
      schema::Directory directory;
      if (auto parsed = FromJson(response.value().body, UnknownFields::kIgnore, &directory);
          !parsed) {
        return done(Error{schema::CODE_DIRECTORY_UNAVAILABLE, parsed.error().message});
      }
      done(std::move(directory));
    });
  }

 private:
  std::unique_ptr<HttpClient> m_client;
};

}  // namespace

Result<std::unique_ptr<InstanceDirectory>> CreateHttpDirectory(Runtime& runtime,
                                                               const std::string& address) {
  HttpClientOptions options;
  options.address = address;
  options.max_connections = 1;
  BOOST_OUTCOME_TRY(auto client, HttpClient::Create(runtime, options));
  return std::unique_ptr<InstanceDirectory>(std::make_unique<HttpDirectory>(std::move(client)));
}

}  // namespace citronsill
