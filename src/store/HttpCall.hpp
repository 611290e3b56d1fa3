#pragma once

#include "store/HttpClient.hpp"

#include <memory>

namespace redwing::Detail {

/// One request and its reply. Keeps itself alive until the callback has run. Store thread only.
class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
  HttpCall(std::shared_ptr<HttpClient> aClient,
           HttpStoreRequest aRequest,
           StoreCallback<HttpStoreReply> aDone);
  ~HttpCall();
  HttpCall(const HttpCall&) = delete;
  HttpCall& operator=(const HttpCall&) = delete;

  /// Connects, or takes an idle connection, and sends the request.
  void Start();

  /// Closes the connection; the callback does not run.
  void Cancel();

  /// Returns whether the head of the reply was received.
  bool Receives() const;

private:
  struct State;

  void Connect();
  void Send();
  void Read();
  void ReadBody();
  void Finish();
  void Fail(bool aSent, const std::string& aMessage);

  std::unique_ptr<State> state_;
};

} // namespace redwing::Detail
