#pragma once

#include "core/Hash.hpp"
#include "operator/LocalHandlers.hpp"
#include "operator/LocalReply.hpp"
#include "operator/LocalRequest.hpp"

#include <functional>
#include <string>

namespace redwing {

/// One operator action for the audit log.
struct AuditEntry
{
  /// Client address and the name that the operator gave.
  std::string remote_;
  std::string operator_;
  /// Method and path.
  std::string action_;
  std::string operation_;
  unsigned status_ = 0;
};

/// Checks the operator token, turns requests into typed ones, calls their handlers and writes the
/// audit log.
class LocalRouter
{
public:
  using Audit = std::function<void(const AuditEntry&)>;

  /// Without aAudit, entries go to the log. An empty aToken refuses all operator requests.
  ///
  /// Preconditions: none.
  LocalRouter(std::string_view aToken, LocalHandlers aHandlers, Audit aAudit = {});

  /// Answers aRequest through aReply, at once or later.
  ///
  /// Preconditions: this object outlives the reply. Thread safety: one thread.
  void Handle(const LocalRequest& aRequest, LocalReplyCallback aReply);

private:
  using Target = Detail::LocalTarget;

  void HandleBackend(const LocalRequest& aRequest,
                     const Target& aTarget,
                     const LocalReplyCallback& aReply);
  void HandleOperator(const LocalRequest& aRequest,
                      const Target& aTarget,
                      const LocalReplyCallback& aReply);
  void HandleRead(const Target& aTarget, const LocalReplyCallback& aReply);
  void HandleChange(const LocalRequest& aRequest,
                    const Target& aTarget,
                    const LocalReplyCallback& aReply);
  void PutConfiguration(const LocalRequest& aRequest,
                        const Target& aTarget,
                        const LocalReplyCallback& aReply);
  bool Authorized(const std::string& aAuthorization) const;

  bool hasToken_;
  /// Hash of the expected Authorization value; comparing hashes hides the token's length.
  Sha256Digest authorization_;
  LocalHandlers handlers_;
  Audit audit_;
};

} // namespace redwing
