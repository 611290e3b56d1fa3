#pragma once

#include "core/Address.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

/// Types shared by the commands of redwingctl.
namespace redwing::ctl {

/// Exit codes; part of the public interface.
enum class Exit : std::uint8_t
{
  Done = 0,
  Refused = 1,
  Usage = 2,
  /// The store or all instances are unreachable, or the outcome is unknown.
  Unknown = 3,
};

enum class OutputFormat : std::uint8_t
{
  Table,
  Json,
};

struct CtlSettings
{
  std::vector<Address> instances_;
  std::string operatorToken_;
  std::string operatorName_;
  /// Identifies a change; the same id again never applies it twice.
  std::string operation_;
  bool wait_ = false;
  std::chrono::seconds waitTimeout_{ 30 };
  OutputFormat output_ = OutputFormat::Table;
};

struct CtlCall
{
  std::string method_;
  std::string target_;
  std::string body_;
};

struct CtlReply
{
  unsigned status_ = 0;
  std::string body_;
};

struct CtlError
{
  /// True if a request was sent and may have taken effect.
  bool sent_ = false;
  std::string message_;
};

using CtlResult = tl::expected<CtlReply, CtlError>;
using Transport = std::function<CtlResult(const CtlCall&)>;
using TransportFactory = std::function<Transport(const CtlSettings&)>;

} // namespace redwing::ctl
