#include "ctl/CommandLine.hpp"

#include "ctl/ClusterCommands.hpp"
#include "ctl/Completion.hpp"
#include "ctl/ConfigurationCommands.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <fstream>
#include <functional>
#include <openssl/rand.h>
#include <optional>
#include <ostream>
#include <utility>

namespace redwing::ctl {

namespace {

constexpr const char* kDescription =
  "Operates a fleet of redwingstack instances.\n\n"
  "Commands go to the local address of any instance. The next instance of the list is tried if\n"
  "one cannot be reached. A change carries an operation id; repeating a command with the same\n"
  "--operation never applies the change twice.";

constexpr const char* kFooter =
  "\nExit codes:\n"
  "  0  done\n"
  "  1  refused: the input has findings, the revision is another one, or the token is wrong\n"
  "  2  usage: unknown or missing arguments\n"
  "  3  the store or all instances are unreachable, or the outcome is unknown\n\n"
  "Examples:\n"
  "  redwingctl validate -f fleet.json\n"
  "  redwingctl apply -f fleet.json -f keys.json --wait\n"
  "  redwingctl key issue porto-app --workspace studio-porto\n"
  "  redwingctl data-centre withdraw braga --wait\n"
  "  redwingctl --output json status\n"
  "  source <(redwingctl completion bash)\n";

/// Values of the options and the action that the command line chose.
struct Options
{
  std::vector<std::string> instances_;
  std::string tokenFile_;
  std::string output_ = "table";
  std::uint32_t waitSeconds_ = 30;
  CtlSettings settings_;

  std::vector<std::string> files_;
  std::optional<std::uint64_t> expected_;
  std::string id_;
  std::string workspace_;
  std::string service_;
  std::uint32_t shard_ = 0;
  bool confirmed_ = false;

  std::function<Exit(Session&)> action_;
};

std::string
RandomOperation()
{
  constexpr std::size_t kBytes = 8;
  std::array<unsigned char, kBytes> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 0xF;
  std::string id = "ctl-";
  for (const unsigned char byte : bytes) {
    id += kDigits[byte >> kNibbleBits];
    id += kDigits[byte & kNibbleMask];
  }
  return id;
}

/// Accepts what can stand in a request target without percent-encoding.
std::string
CheckId(const std::string& aText)
{
  const bool valid =
    !aText.empty() && std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
      return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '_' || aByte == '.';
    });
  return valid ? std::string() : "must have letters, digits, '-', '_' and '.' only";
}

void
AddGlobalOptions(CLI::App& aApp, Options& aOptions)
{
  aApp
    .add_option(
      "--instance", aOptions.instances_, "Local address IP:PORT of an instance; repeatable")
    ->envname("REDWING_INSTANCE")
    ->delimiter(',')
    // Otherwise the option would also take the arguments that follow it.
    ->allow_extra_args(false)
    ->check([](const std::string& aText) {
      return Address::Parse(aText) ? std::string() : "must be IP:PORT";
    });
  auto* token = aApp
                  .add_option("--operator-token",
                              aOptions.settings_.operatorToken_,
                              "Operator token; prefer the file, because other users can see "
                              "arguments")
                  ->envname("REDWING_OPERATOR_TOKEN");
  aApp.add_option("--operator-token-file", aOptions.tokenFile_, "File with the operator token")
    ->envname("REDWING_OPERATOR_TOKEN_FILE")
    ->excludes(token);
  aApp.add_option("--operator-name", aOptions.settings_.operatorName_, "Name for the audit log")
    ->envname("USER");
  aApp
    .add_option(
      "--operation", aOptions.settings_.operation_, "Operation id of a change; random if not given")
    ->check(CheckId);
  aApp.add_option("--output", aOptions.output_, "Output format")
    ->check(CLI::IsMember({ "json", "table" }))
    ->capture_default_str();
  aApp.add_flag("--wait",
                aOptions.settings_.wait_,
                "After a change, wait until every instance reports its revision");
  aApp.add_option("--wait-timeout", aOptions.waitSeconds_, "Seconds to wait at most")
    ->check(CLI::Range(1, 3600))
    ->capture_default_str();
}

CLI::App*
AddCommand(CLI::App& aParent,
           Options& aOptions,
           const char* aName,
           const char* aHelp,
           std::function<Exit(Session&)> aAction)
{
  CLI::App* command = aParent.add_subcommand(aName, aHelp);
  command->callback([&aOptions, action = std::move(aAction)] { aOptions.action_ = action; });
  return command;
}

void
AddDocumentCommands(CLI::App& aApp, Options& aOptions)
{
  Options& options = aOptions;
  const auto addFiles = [&options](CLI::App* aCommand) {
    aCommand
      ->add_option(
        "-f,--file", options.files_, "Configuration file, '-' for standard input; repeatable")
      ->required();
  };
  CLI::App* apply =
    AddCommand(aApp, options, "apply", "Store a configuration document", [&](Session& aSession) {
      return ConfigurationCommands(aSession).Apply(options.files_, options.expected_);
    });
  addFiles(apply);
  apply->add_option(
    "--expect", options.expected_, "Revision to replace; the current one if not given");
  addFiles(AddCommand(
    aApp,
    options,
    "validate",
    "Check a document without any instance and list all findings",
    [&](Session& aSession) { return ConfigurationCommands(aSession).Validate(options.files_); }));
  addFiles(
    AddCommand(aApp, options, "diff", "Show what apply would change", [&](Session& aSession) {
      return ConfigurationCommands(aSession).Diff(options.files_);
    }));
  AddCommand(aApp, options, "export", "Print the document in force", [](Session& aSession) {
    return ConfigurationCommands(aSession).Export();
  });
  const std::pair<const char*, const char*> sections[] = { { "workspace", "workspaces" },
                                                           { "service", "services" },
                                                           { "route", "routes" } };
  for (const auto& [name, section] : sections) {
    CLI::App* group = aApp.add_subcommand(name, std::string("Show ") + section);
    group->require_subcommand(1);
    const std::string sectionName = section;
    AddCommand(*group, options, "list", "List all", [sectionName](Session& aSession) {
      return ConfigurationCommands(aSession).List(sectionName);
    });
    AddCommand(*group,
               options,
               "show",
               "Print one as JSON",
               [&, sectionName](Session& aSession) {
                 return ConfigurationCommands(aSession).Show(sectionName, options.id_);
               })
      ->add_option("id", options.id_, "Id")
      ->required();
  }
}

void
AddKeyCommands(CLI::App& aApp, Options& aOptions)
{
  Options& options = aOptions;
  CLI::App* key = aApp.add_subcommand("key", "API keys of callers");
  key->require_subcommand(1);
  CLI::App* issue =
    AddCommand(*key, options, "issue", "Make a key; it is shown this once", [&](Session& aSession) {
      return ClusterCommands(aSession).IssueKey(options.id_, options.workspace_);
    });
  issue->add_option("id", options.id_, "Id of the new key")->required()->check(CheckId);
  issue->add_option("--workspace", options.workspace_, "Workspace of the key")->required();
  AddCommand(*key,
             options,
             "withdraw",
             "Revoke a key",
             [&](Session& aSession) { return ClusterCommands(aSession).WithdrawKey(options.id_); })
    ->add_option("id", options.id_, "Id")
    ->required()
    ->check(CheckId);
  AddCommand(*key, options, "list", "List keys without their hashes", [](Session& aSession) {
    return ConfigurationCommands(aSession).List("keys");
  });

  CLI::App* dataCentre = aApp.add_subcommand("data-centre", "Data centres");
  dataCentre->require_subcommand(1);
  AddCommand(
    *dataCentre,
    options,
    "withdraw",
    "Give a data centre no new work",
    [&](Session& aSession) { return ClusterCommands(aSession).SetDataCentre(options.id_, true); })
    ->add_option("id", options.id_, "Id")
    ->required()
    ->check(CheckId);
  AddCommand(
    *dataCentre,
    options,
    "restore",
    "Give it work again",
    [&](Session& aSession) { return ClusterCommands(aSession).SetDataCentre(options.id_, false); })
    ->add_option("id", options.id_, "Id")
    ->required()
    ->check(CheckId);
  AddCommand(*dataCentre, options, "list", "List data centres", [](Session& aSession) {
    return ConfigurationCommands(aSession).List("dataCentres");
  });
}

void
AddFleetCommands(CLI::App& aApp, Options& aOptions)
{
  Options& options = aOptions;
  CLI::App* instance = aApp.add_subcommand("instance", "Instances");
  instance->require_subcommand(1);
  AddCommand(*instance, options, "list", "List instances", [](Session& aSession) {
    return ClusterCommands(aSession).Instances();
  });
  AddCommand(*instance,
             options,
             "drain",
             "Drain the instance that --instance names; exactly one must be given",
             [](Session& aSession) { return ClusterCommands(aSession).Drain(); });
  AddCommand(aApp,
             options,
             "shards",
             "List the shards of a service",
             [&](Session& aSession) { return ClusterCommands(aSession).Shards(options.service_); })
    ->add_option("--service", options.service_, "Service")
    ->required()
    ->check(CheckId);
  CLI::App* force = AddCommand(
    aApp,
    options,
    "force-shard",
    "Assign a shard anew although its last owner cannot be proved gone. If that owner still runs, "
    "two servers may act for the same keys: make sure that it is stopped.",
    [&](Session& aSession) {
      return ClusterCommands(aSession).ForceShard(options.service_, options.shard_);
    });
  force->add_option("--service", options.service_, "Service")->required()->check(CheckId);
  force->add_option("--shard", options.shard_, "Shard")->required()->check(CLI::Range(0, 65535));
  force->add_flag("--owner-is-stopped", options.confirmed_, "Confirms that the owner is stopped")
    ->required();
  AddCommand(aApp,
             options,
             "holds",
             "Show what the server of the instance that --instance names is granted and may hold, "
             "and why holds ended, from the metrics of the instance; exactly one must be given",
             [](Session& aSession) { return ClusterCommands(aSession).Holds(); });
  CLI::App* rollout = aApp.add_subcommand("rollout", "Rollouts of services");
  rollout->require_subcommand(1);
  AddCommand(*rollout,
             options,
             "status",
             "Show share, counts by version and route, and why rollouts wait or went back; exactly "
             "one --instance must be given, of which the leader knows all figures",
             [](Session& aSession) { return ClusterCommands(aSession).Rollouts(); });
  AddCommand(aApp,
             options,
             "load",
             "Show the load of the server beside the instance that --instance names, how many of "
             "its responses met their target times, and what was refused; exactly one must be "
             "given",
             [](Session& aSession) { return ClusterCommands(aSession).Load(); });
  AddCommand(aApp,
             options,
             "memory",
             "Show the bytes that the instance that --instance names holds for callers and other "
             "instances, and how often it refused or closed something to bound them; exactly one "
             "must be given",
             [](Session& aSession) { return ClusterCommands(aSession).Memory(); });
  AddCommand(aApp, options, "status", "Show the state of the fleet", [](Session& aSession) {
    return ClusterCommands(aSession).Status();
  });
}

/// Completes the settings; returns a message if the token file cannot be read.
std::string
FinishSettings(Options& aOptions)
{
  for (const std::string& text : aOptions.instances_) {
    if (auto address = Address::Parse(text)) {
      aOptions.settings_.instances_.push_back(std::move(*address));
    }
  }
  CtlSettings& settings = aOptions.settings_;
  settings.output_ = aOptions.output_ == "json" ? OutputFormat::Json : OutputFormat::Table;
  settings.waitTimeout_ = std::chrono::seconds(aOptions.waitSeconds_);
  if (settings.operation_.empty()) {
    settings.operation_ = RandomOperation();
  }
  if (!aOptions.tokenFile_.empty()) {
    std::ifstream file(aOptions.tokenFile_);
    if (!std::getline(file, settings.operatorToken_)) {
      return aOptions.tokenFile_ + ": cannot be read or is empty";
    }
  }
  return {};
}

} // namespace

int
Run(const std::vector<std::string>& aArguments,
    const TransportFactory& aMakeTransport,
    std::ostream& aOut,
    std::ostream& aErr)
{
  CLI::App app(kDescription, "redwingctl");
  app.footer(kFooter);
  app.require_subcommand(1);
  app.fallthrough();
  app.set_help_all_flag("--help-all", "Print the help of all commands");
  app.set_version_flag("--version", "redwingctl 0.1.0");
  Options options;
  AddGlobalOptions(app, options);
  AddDocumentCommands(app, options);
  AddKeyCommands(app, options);
  AddFleetCommands(app, options);
  std::string shell;
  AddCommand(app,
             options,
             "completion",
             "Print a completion script",
             [&](Session& aSession) {
               aSession.Out() << CompletionScript(app, shell);
               return Exit::Done;
             })
    ->add_option("shell", shell, "Shell")
    ->required()
    ->check(CLI::IsMember({ "bash", "zsh" }));
  try {
    // CLI11 takes the arguments in reverse order.
    app.parse(std::vector<std::string>(aArguments.rbegin(), aArguments.rend()));
  } catch (const CLI::ParseError& error) {
    return app.exit(error, aOut, aErr) == 0 ? 0 : static_cast<int>(Exit::Usage);
  }
  if (const std::string message = FinishSettings(options); !message.empty()) {
    aErr << "redwingctl: " << message << "\n";
    return static_cast<int>(Exit::Usage);
  }
  Session session(options.settings_, aMakeTransport(options.settings_), aOut, aErr);
  return static_cast<int>(options.action_(session));
}

} // namespace redwing::ctl
