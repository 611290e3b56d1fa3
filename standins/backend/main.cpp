#include "backend/Backend.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace {

using redwing::standins::BackendSettings;
using redwing::standins::RequireAddress;

struct Flags
{
  std::string address_;
  std::string control_;
  std::string instance_;
  std::string checkTokens_ = "off";
  std::string distribution_ = "fixed";
  std::vector<std::string> labels_;
};

void
Define(CLI::App& aApp, Flags& aFlags, BackendSettings& aSettings)
{
  aApp.add_option("--address", aFlags.address_, "IP:PORT of the server")->required();
  aApp.add_option("--control-address", aFlags.control_, "IP:PORT of the control interface");
  aApp.add_option(
    "--instance-address", aFlags.instance_, "local address of the instance beside it");
  aApp.add_option("--service", aSettings.service_, "service that is announced");
  aApp.add_option("--slots", aSettings.slots_, "requests that run at full speed together");
  aApp.add_option("--connections", aSettings.connections_, "limit of connections");
  aApp.add_option("--label", aFlags.labels_, "NAME=VALUE, repeatable");
  aApp.add_option("--check-tokens", aFlags.checkTokens_)->check(CLI::IsMember({ "on", "off" }));
  aApp.add_option("--service-time-us", aSettings.serviceTimeUs_, "mean time of a request");
  aApp.add_option("--service-time-distribution", aFlags.distribution_)
    ->check(CLI::IsMember({ "fixed", "exponential" }));
  aApp.add_option("--record-file", aSettings.recordFile_, "file of runs and grants");
  aApp.add_option("--report-lag-ms", aSettings.reportLagMs_, "age of the health report");
  aApp.add_flag("--report-idle", aSettings.reportIdle_, "always report no load and not cold");
  aApp.add_option("--cold-ms", aSettings.coldMs_, "length of the cold start");
  aApp.add_option("--seed", aSettings.seed_);
}

void
Resolve(const Flags& aFlags, BackendSettings& aSettings)
{
  aSettings.address_ = RequireAddress(aFlags.address_, "--address");
  if (!aFlags.control_.empty()) {
    aSettings.control_ = RequireAddress(aFlags.control_, "--control-address");
  }
  if (!aFlags.instance_.empty()) {
    aSettings.instance_ = RequireAddress(aFlags.instance_, "--instance-address");
  }
  aSettings.checkTokens_ = aFlags.checkTokens_ == "on";
  aSettings.exponential_ = aFlags.distribution_ == "exponential";
  for (const auto& label : aFlags.labels_) {
    auto split = label.find('=');
    aSettings.labels_[label.substr(0, split)] =
      split == std::string::npos ? "" : label.substr(split + 1);
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  Flags flags;
  BackendSettings settings;
  CLI::App app{ "Stand-in for a backend server" };
  Define(app, flags, settings);
  CLI11_PARSE(app, aCount, aArguments);
  Resolve(flags, settings);
  try {
    boost::asio::io_context io(1);
    redwing::standins::Backend backend(io, std::move(settings));
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    boost::asio::steady_timer grace(io);
    signals.async_wait([&](auto, int) {
      backend.Shutdown();
      // Leaves time for the leave message to reach the instance.
      grace.expires_after(std::chrono::milliseconds(100));
      grace.async_wait([&](auto) { io.stop(); });
    });
    io.run();
  } catch (const std::exception& error) {
    std::cerr << "redwing-backend-standin: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
