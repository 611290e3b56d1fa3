#pragma once

#include <string>
#include <vector>

namespace redwing {

/// Header names and forms in which an instance speaks with callers and with its backend server.
/// Names are compared without regard to case. The defaults are the product's own; an empty name
/// means that the header is not used.
struct HttpProtocol
{
  /// Holds the caller's API key, after apiKeyScheme_ and a space unless the scheme is empty.
  std::string apiKeyHeader_ = "Authorization";
  std::string apiKeyScheme_ = "Bearer";
  std::string requestIdHeader_ = "Redwing-Request-Id";
  /// The id that a caller sends is kept; otherwise each request gets a new one.
  bool callerChoosesId_ = false;
  /// Time that the caller waits, in milliseconds.
  std::string timeoutHeader_ = "Redwing-Timeout-Ms";
  /// Parameters of the query that could hold an API key are removed.
  bool cleansQuery_ = true;
  /// Headers with this prefix are never forwarded as the caller sent them.
  std::string ownPrefix_ = "redwing-";
  /// Further headers that are never forwarded as the caller sent them.
  std::vector<std::string> ownHeaders_;
  /// Outcome and error code of a refusal.
  std::string outcomeHeader_ = "Redwing-Outcome";
  std::string errorHeader_ = "Redwing-Error";
  /// Retry-After has fractions of a second.
  bool fractionalRetryAfter_ = false;
  /// The status alone tells whether a request ran: 503 only if it did not and never will, 502 or
  /// 504 otherwise.
  bool statusTellsOutcome_ = false;

  /// Service of the backend server beside the instance that took the request.
  std::string originHeader_;
  std::string workspaceHeader_ = "Redwing-Workspace";
  /// Time left at the backend server, in milliseconds.
  std::string deadlineHeader_ = "Redwing-Deadline-Ms";
  std::string shardHeader_ = "Redwing-Shard";
  std::string tokenHeader_ = "Redwing-Token";
  /// Names the run of the backend server that the request is meant for.
  std::string expectedServerHeader_;
  /// Says that the backend server did not run the request; any value counts if notRunValue_ is
  /// empty.
  std::string notRunHeader_ = "Redwing-Shed";
  std::string notRunValue_ = "not-run";
  /// Running and waiting requests, slots and slowness in per cent, separated by commas.
  std::string loadHeader_;
  /// Requests per second that the server takes from all instances together, for as long as its
  /// answers say so.
  std::string limitHeader_;
  /// Says with the value 1 in any answer that the server leaves.
  std::string leavingHeader_;
  /// A success without this header is not the backend server's answer.
  std::string signatureHeader_;
  /// Responses echo the request id; one with another id belongs to another request.
  bool serverEchoesId_ = false;
};

} // namespace redwing
