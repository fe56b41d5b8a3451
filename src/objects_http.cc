#include "citronsill/http.h"
#include "citronsill/objects.h"
#include "internal.h"

namespace citronsill {
namespace {

class HttpObjects : public ObjectStore {
 public:
  explicit HttpObjects(std::unique_ptr<HttpClient> client) : m_client(std::move(client)) {}

  void Put(std::string key, std::string value, std::function<void(Result<void>)> done) override {
    Send("PUT", key, std::move(value), [done](Result<std::string> result) {
      if (!result) return done(result.error());
      done(Success());
    });
  }

  void Get(std::string key, std::function<void(Result<std::string>)> done) override {
    Send("GET", key, {}, std::move(done));
  }

  void Delete(std::string key, std::function<void(Result<void>)> done) override {
    Send("DELETE", key, {}, [done](Result<std::string> result) {
      if (!result && result.error().code != schema::CODE_NOT_FOUND) return done(result.error());
      done(Success());
    });
  }

 private:
  void Send(const std::string& method, const std::string& key, std::string body,
            std::function<void(Result<std::string>)> done) {
    HttpRequest request;
    request.method = method;
    request.target = "/objects/" + key;
    request.body = std::move(body);
    m_client->Send(std::move(request), kTableTimeout, [done](Result<HttpResponse> response) {
      if (!response) {
        return done(Error{schema::CODE_OBJECTS_UNAVAILABLE, response.error().message});
      }
      HttpResponse& answer = response.value();
      if (answer.status == 404) return done(Error{schema::CODE_NOT_FOUND, "no such object"});
      if (answer.status != 200) {
        return done(
            Error{schema::CODE_OBJECTS_UNAVAILABLE,
                  "the object store answered with status " + std::to_string(answer.status)});
      }
      done(std::move(answer.body));
    });
  }

  std::unique_ptr<HttpClient> m_client;
};

}  // namespace

Result<std::unique_ptr<ObjectStore>> CreateHttpObjects(Runtime& runtime,
                                                       const std::string& address) {
  HttpClientOptions options;
  options.address = address;
  options.max_connections = 2;
  BOOST_OUTCOME_TRY(auto client, HttpClient::Create(runtime, options));
  return std::unique_ptr<ObjectStore>(std::make_unique<HttpObjects>(std::move(client)));
}

}  // namespace citronsill
