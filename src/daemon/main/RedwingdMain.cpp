#include "core/Log.hpp"
#include "daemon/Daemon.hpp"
#include "daemon/DaemonSettings.hpp"

#include <CLI/CLI.hpp>
#include <iostream>
#include <unistd.h>

namespace {

constexpr int kExitUsage = 2;
constexpr const char* kVersion = "redwingd 0.1.0";

std::vector<std::string>
EnvironmentNames()
{
  std::vector<std::string> names;
  for (char** entry = environ; entry != nullptr && *entry != nullptr; ++entry) {
    const std::string_view text(*entry);
    names.emplace_back(text.substr(0, text.find('=')));
  }
  return names;
}

void
Print(const redwing::Findings& aFindings)
{
  for (const redwing::Finding& finding : aFindings) {
    std::cerr << "redwingd: " << finding.place_ << " " << finding.message_ << "\n";
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  CLI::App app{
    "redwingd: one instance of the redwingstack request router. It runs beside a backend "
    "server, takes callers' requests and finds the owner of a key or the best backend "
    "server. Every flag can also be set by the variable named beside it; the flag wins."
  };
  std::map<std::string, std::string> values;
  for (const redwing::SettingInfo& setting : redwing::AllSettings()) {
    const std::string flag(setting.flag_);
    app.add_option("--" + flag, values[flag], std::string(setting.help_))
      ->envname(redwing::VariableOf(flag));
  }
  bool check = false;
  app.add_flag("--check", check, "Check all settings, report every finding, and exit");
  app.set_version_flag("--version", kVersion);
  try {
    app.parse(aCount, aArguments);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : kExitUsage;
  }
  redwing::RawSettings raw;
  for (const auto& [flag, value] : values) {
    if (!value.empty()) {
      raw[flag] = value;
    }
  }
  redwing::Findings findings = redwing::CheckVariables(EnvironmentNames());
  auto settings = redwing::CheckSettings(raw);
  if (!settings) {
    findings.insert(findings.end(), settings.error().begin(), settings.error().end());
  }
  if (!findings.empty()) {
    Print(findings);
    return kExitUsage;
  }
  if (check) {
    std::cout << "redwingd: the settings are valid\n";
    return 0;
  }
  redwing::InitLogging("redwingd", settings->logLevel_);
  return redwing::Daemon(std::move(*settings)).Run();
}
