#include "common/HttpServer.hpp"
#include "proxy/TcpForwarder.hpp"
#include "proxy/UdpForwarder.hpp"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

namespace {

using namespace redwing::standins;
using Json = nlohmann::json;

Rule
ReadRule(const Json& aRule)
{
  Rule rule{ aRule.value("from", ""), aRule.value("to", ""), {}, false };
  rule.condition_.cut_ = aRule.value("cut", false);
  rule.condition_.delayMs_ = aRule.value("delay_ms", 0.0);
  rule.condition_.jitterMs_ = aRule.value("jitter_ms", 0.0);
  rule.condition_.lossPercent_ = aRule.value("loss_percent", 0.0);
  rule.condition_.duplicatePercent_ = aRule.value("duplicate_percent", 0.0);
  rule.condition_.reorderPercent_ = aRule.value("reorder_percent", 0.0);
  return rule;
}

/// Forwards for all nodes of the configuration and obeys the control interface:
/// POST /rule adds a rule (a cut without "one_way" applies in both directions), POST /restore
/// removes rules, POST /silence-old {"from": PREFIX}, GET /counts.
class Proxy
{
public:
  explicit Proxy(const Json& aConfiguration)
    : control_(context_.io_,
               RequireAddress(aConfiguration.at("control"), "control"),
               [this](const auto& aExchange) { Control(aExchange); })
  {
    for (const auto& entry : aConfiguration.at("nodes")) {
      ProxyNode node{ entry.at("name"),
                      RequireAddress(entry.at("listen"), "listen"),
                      RequireAddress(entry.at("to"), "to"),
                      entry.value("from", "") };
      if (node.from_.empty()) {
        context_.names_[node.to_.ip_] = node.name_;
        udp_[node.name_] = std::make_unique<UdpForwarder>(context_, node, udp_);
      }
      tcp_.push_back(std::make_unique<TcpForwarder>(context_, node));
    }
    for (const auto& entry : aConfiguration.value("rules", Json::array())) {
      auto rule = ReadRule(entry);
      rule.permanent_ = true;
      context_.rules_.Add(std::move(rule));
    }
    control_.Listen();
  }

  void Run() { context_.io_.run(); }

private:
  void Control(const HttpExchangePtr& aExchange)
  {
    const auto& request = aExchange->Request();
    Json body = Json::parse(request.body_, nullptr, false);
    if (!body.is_object()) {
      body = Json::object();
    }
    Json result = Json::object();
    if (request.path_ == "/rule") {
      auto rule = ReadRule(body);
      if (!body.value("one_way", false) && rule.from_ != rule.to_) {
        context_.rules_.Add({ rule.to_, rule.from_, rule.condition_, false });
      }
      context_.rules_.Add(std::move(rule));
    } else if (request.path_ == "/restore") {
      auto from = body.value("from", "");
      auto to = body.value("to", "");
      context_.rules_.Restore(from, to);
      context_.rules_.Restore(to, from);
    } else if (request.path_ == "/silence-old") {
      for (auto& forwarder : tcp_) {
        forwarder->SilenceOld(body.value("from", ""));
      }
    } else if (request.path_ == "/counts") {
      const auto& counters = context_.counters_;
      result = { { "tcp_bytes", counters.tcpBytes_ },
                 { "tcp_flows", counters.tcpFlows_ },
                 { "udp_packets", counters.udpPackets_ },
                 { "udp_bytes", counters.udpBytes_ },
                 { "udp_dropped", counters.udpDropped_ } };
    } else {
      aExchange->Respond({ 404, "{}" });
      return;
    }
    aExchange->Respond({ 200, result.dump() });
  }

  ProxyContext context_;
  UdpForwarders udp_;
  std::vector<std::unique_ptr<TcpForwarder>> tcp_;
  HttpServer control_;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  std::string file;
  CLI::App app{ "Proxy that injects network faults between nodes" };
  app.add_option("--config", file, "JSON file with control, nodes and rules")->required();
  CLI11_PARSE(app, aCount, aArguments);
  try {
    std::ifstream input(file);
    Proxy proxy(Json::parse(input));
    proxy.Run();
  } catch (const std::exception& error) {
    std::cerr << "redwing-proxy: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
