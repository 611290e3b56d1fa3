#pragma once

#include "exchange/Events.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace redwing {

/// A control call to another instance.
struct CallRequest
{
  std::uint64_t callId_ = 0;
  std::string payload_;
};

struct CallReply
{
  std::uint64_t callId_ = 0;
  std::string payload_;
};

/// Keepalive; the receiver returns it as Pong.
struct Ping
{
  std::uint64_t number_ = 0;
};

struct Pong
{
  std::uint64_t number_ = 0;
};

/// Everything that an established link carries. The position of a type is its number in the frame
/// format, so new types go to the end.
using LinkMessage = std::variant<RequestStart,
                                 RequestBody,
                                 RequestCancel,
                                 ResponseCredit,
                                 ResponseStart,
                                 ResponseBody,
                                 ResponseAbort,
                                 Refusal,
                                 RequestCredit,
                                 CallRequest,
                                 CallReply,
                                 Ping,
                                 Pong,
                                 RequestRecall>;

} // namespace redwing
