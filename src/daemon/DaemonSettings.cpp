#include "daemon/DaemonSettings.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <fstream>
#include <iterator>

namespace redwing {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMinSecretLength = 16;
constexpr std::string_view kVariablePrefix = "REDWING_";
/// Variables of redwingctl and of the scripts, which may be set in the shell that starts redwingd.
constexpr std::array<std::string_view, 3> kForeignVariables{
  "REDWING_INSTANCE",
  "REDWING_JOBS",
  "REDWING_TEST_JOBS",
};

/// Reads settings one by one and collects what is wrong with them.
class Checker
{
public:
  explicit Checker(const RawSettings& aRaw)
    : raw_(aRaw)
  {
  }

  std::string Name(std::string_view aFlag, bool aRequired)
  {
    std::string value = Text(aFlag);
    if (value.empty()) {
      if (aRequired) {
        Add(aFlag, "is required");
      }
      return value;
    }
    const bool valid =
      value.size() <= kMaxNameLength && std::all_of(value.begin(), value.end(), [](char aChar) {
        return std::isalnum(static_cast<unsigned char>(aChar)) != 0 || aChar == '-' ||
               aChar == '_' || aChar == '.';
      });
    if (!valid) {
      Add(aFlag, "must be 1 to 64 letters, digits, '-', '_' or '.'");
    }
    return value;
  }

  Address Endpoint(std::string_view aFlag)
  {
    const std::string value = Text(aFlag);
    if (value.empty()) {
      Add(aFlag, "is required");
      return {};
    }
    const auto address = Address::Parse(value);
    if (!address) {
      Add(aFlag, "must be IP:PORT with a port from 1 to 65535");
      return {};
    }
    return *address;
  }

  std::string Secret(const std::string& aFlag)
  {
    const std::string fileFlag = aFlag + "-file";
    const std::string direct = Text(aFlag);
    const std::string path = Text(fileFlag);
    if (!direct.empty() && !path.empty()) {
      Add(aFlag, "must not be given together with --" + fileFlag);
      return {};
    }
    if (direct.empty() && path.empty()) {
      Add(aFlag, "is required, here or by --" + fileFlag);
      return {};
    }
    std::string secret = path.empty() ? direct : ReadFile(fileFlag, path);
    if (!secret.empty() && secret.size() < kMinSecretLength) {
      Add(path.empty() ? aFlag : fileFlag, "must hold at least 16 characters");
    }
    return secret;
  }

  template<typename Value>
  Value OneOf(std::string_view aFlag,
              const std::vector<std::pair<std::string_view, Value>>& aChoices,
              Value aDefault)
  {
    const std::string value = Text(aFlag);
    if (value.empty()) {
      return aDefault;
    }
    std::string names;
    for (const auto& [name, choice] : aChoices) {
      if (name == value) {
        return choice;
      }
      names.append(names.empty() ? "" : ", ").append(name);
    }
    Add(aFlag, "must be one of: " + names);
    return aDefault;
  }

  /// Returns a positive number; 0 if it is not given.
  std::uint32_t Count(std::string_view aFlag)
  {
    const std::string value = Text(aFlag);
    std::uint32_t count = 0;
    const auto end = value.data() + value.size();
    const auto result = std::from_chars(value.data(), end, count);
    if (!value.empty() && (result.ec != std::errc() || result.ptr != end || count == 0)) {
      Add(aFlag, "must be an integer from 1 to 4294967295");
      return 0;
    }
    return count;
  }

  void Add(std::string_view aFlag, std::string aMessage)
  {
    std::string place = "--" + std::string(aFlag) + " (" + VariableOf(aFlag) + ")";
    findings_.push_back({ std::move(place), std::move(aMessage) });
  }

  Findings findings_;

private:
  std::string Text(std::string_view aFlag) const
  {
    const auto found = raw_.find(aFlag);
    return found == raw_.end() ? std::string() : found->second;
  }

  std::string ReadFile(std::string_view aFlag, const std::string& aPath)
  {
    std::ifstream file(aPath, std::ios::binary);
    if (!file) {
      Add(aFlag, "cannot be read");
      return {};
    }
    std::string text{ std::istreambuf_iterator<char>(file), {} };
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
      text.pop_back();
    }
    if (text.empty()) {
      Add(aFlag, "names an empty file");
    }
    return text;
  }

  const RawSettings& raw_;
};

void
CheckDistinct(Checker& aChecker, const DaemonSettings& aSettings)
{
  if (aSettings.callersAddress_.port_ != 0 &&
      aSettings.callersAddress_ == aSettings.peersAddress_) {
    aChecker.Add("callers-address", "must differ from --peers-address");
  }
  if (aSettings.localAddress_.port_ != 0 &&
      (aSettings.localAddress_ == aSettings.peersAddress_ ||
       aSettings.localAddress_ == aSettings.callersAddress_)) {
    aChecker.Add("local-address", "must differ from the callers' and the peers' address");
  }
}

} // namespace

const std::vector<SettingInfo>&
AllSettings()
{
  static const std::vector<SettingInfo> settings{
    { "instance-id", "Name of this instance, unique in the fleet" },
    { "data-centre", "Data centre that this instance runs in" },
    { "region", "Region of the data centre; default: default" },
    { "rack", "Rack or switch of this instance; default: none" },
    { "callers-address", "IP:PORT for callers' HTTP requests" },
    { "peers-address", "IP:PORT for other instances, TCP and UDP" },
    { "advertise-peers-address", "IP:PORT that other instances use; default: the peers' address" },
    { "local-address", "IP:PORT for the backend server's announcements, operators and metrics" },
    { "store-address", "IP:PORT of the key-value store's JSON gateway" },
    { "fleet-key", "Secret shared by all instances, at least 16 characters" },
    { "fleet-key-file", "File that holds the fleet key" },
    { "operator-token", "Secret of the operators, at least 16 characters" },
    { "operator-token-file", "File that holds the operator token" },
    { "log-level", "debug, info, warning or error; default: info" },
    { "balancing", "two-choices, round-robin or least-outstanding; default: two-choices" },
    { "hedging", "on or off; default: on" },
    { "ejection", "on or off: ejection of slow backend servers; default: on" },
    { "memory-mb",
      "Memory of this process in MiB; default: 256, or less if the system allows less" },
    { "file-descriptors", "Descriptors of this process; default: its limit by the system" },
  };
  return settings;
}

std::string
VariableOf(std::string_view aFlag)
{
  std::string name(kVariablePrefix);
  for (const char c : aFlag) {
    name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
  }
  return name;
}

Findings
CheckVariables(const std::vector<std::string>& aVariables)
{
  Findings findings;
  for (const std::string& variable : aVariables) {
    const auto& settings = AllSettings();
    const bool known =
      std::any_of(settings.begin(), settings.end(), [&](const SettingInfo& aSetting) {
        return VariableOf(aSetting.flag_) == variable;
      });
    const bool foreign = std::find(kForeignVariables.begin(), kForeignVariables.end(), variable) !=
                         kForeignVariables.end();
    if (variable.starts_with(kVariablePrefix) && !known && !foreign) {
      findings.push_back({ variable, "is not a setting of redwingd" });
    }
  }
  return findings;
}

tl::expected<DaemonSettings, Findings>
CheckSettings(const RawSettings& aRaw)
{
  Checker checker(aRaw);
  DaemonSettings settings;
  settings.instanceId_ = checker.Name("instance-id", true);
  settings.dataCentre_ = checker.Name("data-centre", true);
  settings.region_ = checker.Name("region", false);
  if (settings.region_.empty()) {
    settings.region_ = "default";
  }
  settings.rack_ = checker.Name("rack", false);
  settings.callersAddress_ = checker.Endpoint("callers-address");
  settings.peersAddress_ = checker.Endpoint("peers-address");
  settings.advertisedAddress_ = aRaw.contains("advertise-peers-address")
                                  ? checker.Endpoint("advertise-peers-address")
                                  : settings.peersAddress_;
  settings.localAddress_ = checker.Endpoint("local-address");
  settings.storeAddress_ = checker.Endpoint("store-address");
  settings.fleetKey_ = checker.Secret("fleet-key");
  settings.operatorToken_ = checker.Secret("operator-token");
  settings.logLevel_ = checker.OneOf<LogLevel>("log-level",
                                               { { "debug", LogLevel::Debug },
                                                 { "info", LogLevel::Info },
                                                 { "warning", LogLevel::Warning },
                                                 { "error", LogLevel::Error } },
                                               LogLevel::Info);
  settings.routing_.balancing_ =
    checker.OneOf<Balancing>("balancing",
                             { { "two-choices", Balancing::TwoChoices },
                               { "round-robin", Balancing::RoundRobin },
                               { "least-outstanding", Balancing::LeastOutstanding } },
                             Balancing::TwoChoices);
  const std::vector<std::pair<std::string_view, bool>> onOff{ { "on", true }, { "off", false } };
  settings.routing_.hedging_ = checker.OneOf<bool>("hedging", onOff, true);
  settings.routing_.outlierEjection_ = checker.OneOf<bool>("ejection", onOff, true);
  constexpr std::uint64_t kMegabyte = 1024 * 1024;
  settings.limits_.memoryBytes_ = checker.Count("memory-mb") * kMegabyte;
  settings.limits_.descriptors_ = checker.Count("file-descriptors");
  CheckDistinct(checker, settings);
  if (!checker.findings_.empty()) {
    return tl::unexpected(std::move(checker.findings_));
  }
  return settings;
}

} // namespace redwing
