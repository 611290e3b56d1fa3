#pragma once

#include "core/Finding.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace redwing {

/// Reply to a request on the local address.
struct LocalReply
{
  unsigned status_ = 200;
  std::string contentType_ = "application/json";
  std::string body_;
};

/// Takes the reply of one request; calls after the first have no effect.
using LocalReplyCallback = std::function<void(LocalReply)>;

/// Returns a reply with a JSON body.
///
/// Preconditions: aBody is JSON. Thread safety: callable from any thread.
LocalReply JsonReply(std::string aBody);

/// Returns an RFC 9457 problem. aCode is stable, aDetail is for people; neither holds a secret.
///
/// Preconditions: none. Thread safety: callable from any thread.
LocalReply ProblemReply(unsigned aStatus,
                        std::string_view aCode,
                        std::string_view aDetail,
                        const Findings& aFindings = {});

} // namespace redwing
