/// Syntax and help texts of the command line `citronsill`.
#pragma once

#include <boost/program_options.hpp>
#include <cstdint>
#include <string>

namespace citronsill {

inline const char* const kOverview = R"(usage: citronsill COMMAND [options]

  submit   run work and wait for its answer
             citronsill submit --class quick-quote --team north --payload "4 shoes"
             citronsill submit --file jobs.json
  status   show what became of a request
             citronsill status 3f2a9c0d41b85e67
  cancel   cancel a request
             citronsill cancel 3f2a9c0d41b85e67
  apply    apply records from a file or a folder of .json files
             citronsill apply records/ --dry-run
             citronsill apply records/quick-quote.json --author anna
  get      show the records, and for each instance the revision in force and since when
             citronsill get
             citronsill get work_class quick-quote
  report   show service level, load and what needs an operator
             citronsill report --server 127.0.0.1:8100
  drain    shut down one instance after it has finished its work
             citronsill drain --server 127.0.0.1:8100
  check    check a settings file
             citronsill check /etc/citronsill/settings.json

"citronsill COMMAND --help" shows the options of a command.

Exit codes: 0 success, 1 the work failed, 2 usage or bad input, 3 refused (nothing has happened),
4 no server reachable (nothing was sent), 5 outcome unknown (ask by id, or repeat with the same
key), 6 conflict, 7 not found, 8 fault in citronsill.
)";

/// Options, positional arguments and example of one command.
struct Syntax {
  boost::program_options::options_description options;
  boost::program_options::positional_options_description positional;
  std::string example;
};

inline void AddSubmitOptions(Syntax* syntax) {
  const auto text = [] { return boost::program_options::value<std::string>(); };
  syntax->options.add_options()("class", text(), "work class")("team", text(), "team")(
      "key", text(), "idempotency key; generated and printed when absent")(
      "payload", text(), "text passed to each task")("run-time", text(),
                                                     "declared run time of one task, such as 2.5s")(
      "deadline", text(), "deadline, measured from arrival, such as 10s")(
      "processors", boost::program_options::value<double>(), "processors of one task")(
      "memory-mb", boost::program_options::value<std::uint64_t>(), "memory of one task, in MB")(
      "accelerators", boost::program_options::value<std::uint32_t>(), "accelerators of one task")(
      "tasks", boost::program_options::value<std::uint32_t>(), "number of tasks")(
      "all-at-once", "start all tasks together or none")("urgent", "order before other work")(
      "no-wait", "return once accepted; get the outcome later with status")(
      "file", text(), "list of requests, JSON with comments, instead of the options above");
  syntax->example =
      "citronsill submit --class quick-quote --team north --payload \"4 shoes\" --deadline 5s\n"
      "  echo '[{\"work_class\":\"quick-quote\",\"team\":\"north\"}]' > jobs.json\n"
      "  citronsill submit --file jobs.json --output json";
}

/// @param command one of the commands in `kOverview`.
inline Syntax SyntaxOf(const std::string& command) {
  const auto text = [] { return boost::program_options::value<std::string>(); };
  Syntax syntax;
  if (command == "submit") {
    AddSubmitOptions(&syntax);
  } else if (command == "status" || command == "cancel") {
    syntax.options.add_options()("id", text(), "id of the request, from the answer to submit");
    syntax.positional.add("id", 1);
    syntax.example = "citronsill " + command + " 3f2a9c0d41b85e67";
  } else if (command == "apply") {
    syntax.options.add_options()("path", text(), "file, or folder of .json files")(
        "dry-run", "show the differences, change nothing")(
        "based-on", boost::program_options::value<std::uint64_t>(),
        "revision that the change is based on; defaults to the one in force")(
        "author", text(), "author of the change; defaults to $USER")(
        "apply-id", text(), "id of an earlier apply with unknown outcome, to repeat it safely");
    syntax.positional.add("path", 1);
    syntax.example =
        "citronsill apply records/ --dry-run\n"
        "  citronsill apply records/quick-quote.json --based-on 12 --author anna";
  } else if (command == "get") {
    syntax.options.add_options()("kind", text(), "work_class, limit or target")("name", text(),
                                                                                "name");
    syntax.positional.add("kind", 1).add("name", 1);
    syntax.example = "citronsill get limit north --output json";
  } else if (command == "check") {
    syntax.options.add_options()("path", text(), "settings file");
    syntax.positional.add("path", 1);
    syntax.example = "citronsill check examples/horseshoe.json";
  } else {
    syntax.example = "citronsill " + command + " --server 127.0.0.1:8100";
  }
  syntax.options.add_options()("help", "show this text")(
      "server", text()->default_value("127.0.0.1:8100"), "IP:port[,IP:port], tried in turn")(
      "output", text()->default_value("text"), "text or json")(
      "key-file", text(), "file with the access key; defaults to $CITRONSILL_KEY_FILE")(
      "ca", text(),
      "PEM file with the CA certificate that verifies the servers; "
      "enables TLS");
  return syntax;
}

}  // namespace citronsill
