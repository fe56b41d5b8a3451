// Stand-in for the network between instances: relays TCP connections. On command it drops traffic
// in one direction, in both, or on the currently open connections, without closing any connection.
#include <boost/program_options.hpp>
#include <iostream>

#include "citronsill/http.h"
#include "internal.h"
#include "relay.h"

namespace options = boost::program_options;

namespace citronsill {
namespace {

// Commands: "/none", "/forward", "/backward", "/both" or "/silence". A suffix "?N" selects relay N;
// without it the command applies to all relays.
HttpResponse Control(const std::string& target, const std::vector<std::shared_ptr<Relay>>& relays) {
  const std::map<std::string, Loss> losses{{"/none", Loss::kNone},
                                           {"/forward", Loss::kForward},
                                           {"/backward", Loss::kBackward},
                                           {"/both", Loss::kBoth}};
  const std::size_t separator = target.find('?');
  const std::string command = target.substr(0, separator);
  HttpResponse response;
  for (std::size_t i = 0; i < relays.size(); ++i) {
    if (separator != std::string::npos && target.substr(separator + 1) != std::to_string(i))
      continue;
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

int Serve(const std::string& control, const std::vector<std::string>& mappings) {
  // The relay's sockets are not synchronized, so everything runs on one thread.
  auto runtime = Runtime::Create(1);
  std::vector<std::shared_ptr<Relay>> relays;
  for (const std::string& mapping : mappings) {
    const std::size_t separator = mapping.find('=');
    auto listen_address = ParseAddress(mapping.substr(0, separator));
    auto target_address =
        ParseAddress(separator == std::string::npos ? "" : mapping.substr(separator + 1));
    if (!listen_address || !target_address) {
      std::cerr << "relay_standin: \"" << mapping << "\" is not of the form IP:port=IP:port\n";
      return 2;
    }
    relays.push_back(std::make_shared<Relay>(runtime.value()->Context(), target_address.value()));
    if (!relays.back()->Listen(listen_address.value())) {
      std::cerr << "relay_standin: cannot listen on " << mapping << '\n';
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
  std::vector<std::string> mappings;
  options::options_description description("relay_standin: TCP relay that drops traffic on demand");
  auto add = description.add_options();
  add("help", "show this text");
  add("control", options::value(&control)->default_value("127.0.0.1:9900"), "IP:port for commands");
  add("map", options::value(&mappings)->multitoken(),
      "IP:port=IP:port, listening address and target");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, description), values);
  options::notify(values);
  if (values.contains("help")) {
    std::cout << description;
    return 0;
  }
  return citronsill::Serve(control, mappings);
}
