#pragma once

#include "common/HttpServer.hpp"

#include <string>
#include <vector>

namespace redwing::bench {

using standins::HttpHeader;

struct CallResult
{
  /// 0 when no complete response was received.
  unsigned status_ = 0;
  std::string body_;

  bool Ok() const { return status_ >= 200 && status_ < 300; }
};

/// Makes one HTTP call on a new connection and waits for the response, 2 s at most unless aLimitMs
/// says otherwise. Thread safety: callable from any thread.
CallResult Call(const Address& aAddress,
                const std::string& aMethod,
                const std::string& aTarget,
                const std::string& aBody = {},
                const std::vector<HttpHeader>& aHeaders = {},
                int aLimitMs = 2000);

} // namespace redwing::bench
