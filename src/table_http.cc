#include "citronsill/http.h"
#include "citronsill/table.h"
#include "internal.h"

namespace citronsill {
namespace {

class HttpTable : public Table {
 public:
  explicit HttpTable(std::unique_ptr<HttpClient> client) : m_client(std::move(client)) {}

  void Read(std::string key, std::function<void(Result<schema::TableRow>)> done) override {
    schema::TableRow query;
    query.set_key(std::move(key));
    Post<schema::TableRow>("/table/read", ToJson(query), std::move(done));
  }

  void Scan(std::string prefix,
            std::function<void(Result<std::vector<schema::TableRow>>)> done) override {
    schema::TableRow query;
    query.set_key(std::move(prefix));
    Post<schema::TableScanResult>(
        "/table/scan", ToJson(query), [done](Result<schema::TableScanResult> result) {
          if (!result) return done(result.error());
          auto& rows = *result.value().mutable_rows();
          done(std::vector<schema::TableRow>(std::make_move_iterator(rows.begin()),
                                             std::make_move_iterator(rows.end())));
        });
  }

  void Commit(schema::TableTransaction transaction,
              std::function<void(Result<schema::TableCommitResult>)> done) override {
    Post<schema::TableCommitResult>(
        "/table/commit", ToJson(transaction), [done](Result<schema::TableCommitResult> result) {
          if (!result && result.error().code != schema::CODE_TABLE_UNAVAILABLE) {
            return done(Error{schema::CODE_COMMIT_UNKNOWN, result.error().message});
          }
          done(std::move(result));
        });
  }

 private:
  // CODE_TABLE_UNAVAILABLE means that the request had no effect: the service answered with status
  // 503, or too many calls were waiting to be sent. After any other status or a lost response it
  // may have had one.
  template <class Message>
  void Post(std::string target, std::string body, std::function<void(Result<Message>)> done) {
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(target);
    request.body = std::move(body);
    m_client->Send(std::move(request), kTableTimeout, [done](Result<HttpResponse> response) {
      if (!response) {
        const bool unsent = response.error().code == schema::CODE_OVERLOADED;
        return done(Error{unsent ? schema::CODE_TABLE_UNAVAILABLE : response.error().code,
                          response.error().message});
      }
      if (response.value().status != 200) {
        const std::string status = std::to_string(response.value().status);
        return done(Error{response.value().status == 503 ? schema::CODE_TABLE_UNAVAILABLE
                                                         : schema::CODE_COMMIT_UNKNOWN,
                          "the table service answered with status " + status});
      }
      Message message;
      if (auto parsed = FromJson(response.value().body, UnknownFields::kIgnore, &message);
          !parsed) {
        return done(parsed.error());
      }
      done(std::move(message));
    });
  }

  std::unique_ptr<HttpClient> m_client;
};

}  // namespace

Result<std::unique_ptr<Table>> CreateHttpTable(Runtime& runtime, const std::string& address) {
  HttpClientOptions options;
  options.address = address;
  options.max_connections = 4;
  BOOST_OUTCOME_TRY(auto client, HttpClient::Create(runtime, options));
  return std::unique_ptr<Table>(std::make_unique<HttpTable>(std::move(client)));
}

}  // namespace citronsill
