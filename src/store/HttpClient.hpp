#pragma once

#include "core/Address.hpp"
#include "store/CallBudget.hpp"
#include "store/Store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace redwing {

struct HttpClientSettings
{
  Address address_;
  /// Time for one call from its start to the head of its reply, and for the body of a small reply.
  /// Large ones get more time by their size.
  std::chrono::milliseconds timeout_{ 1000 };
  /// Idle connections kept for later calls.
  std::size_t idleConnections_ = 4;
  CallBudgetSettings budget_;
  /// Header of all replies that names the epoch of the store; empty if it has no epochs.
  std::string epochHeader_;
};

/// One HTTP request to a store.
struct HttpStoreRequest
{
  std::string path_;
  std::string body_;
  /// The request may change the store, so that a lost reply leaves its outcome unknown.
  bool writes_ = false;
  std::string method_ = "POST";
  /// Replaces the time-out of the settings.
  std::optional<std::chrono::milliseconds> timeout_;
};

/// Reply of a store, whatever its status.
struct HttpStoreReply
{
  unsigned status_ = 0;
  std::string body_;
  /// The epoch of the store; nothing if the header is missing or is no number.
  std::optional<std::uint64_t> epoch_{};
};

namespace Detail {

class HttpCall;

/// Shares connections and the call budget among the calls to one store.
class HttpClient : public std::enable_shared_from_this<HttpClient>
{
public:
  HttpClient(boost::asio::io_context& aContext,
             const Clock& aClock,
             std::uint64_t aSeed,
             HttpClientSettings aSettings);
  virtual ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends aRequest and passes the reply to aDone; an error means that no reply was received.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void Post(HttpStoreRequest aRequest, StoreCallback<HttpStoreReply> aDone);

  /// Returns the io_context of the store thread.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  boost::asio::io_context& Context() { return context_; }

  const HttpClientSettings& Settings() const { return settings_; }

  // The methods below run on the store thread.

  /// Like Post, but sends at once. Returns the call, which can be canceled, or nothing if it could
  /// not be sent.
  std::shared_ptr<HttpCall> Begin(HttpStoreRequest aRequest, StoreCallback<HttpStoreReply> aDone);

  TimePoint Now() const { return clock_.Now(); }

  /// Drops all connections and callbacks.
  virtual void Close();
  bool Closed() const { return closed_; }

  /// Takes one call from the budget.
  [[nodiscard]] bool TryAcquire() { return budget_.TryAcquire(); }

  /// Returns an idle connection that the store has not closed, or a closed socket.
  boost::asio::ip::tcp::socket TakeConnection();

  /// Keeps a connection whose last reply was read completely.
  void KeepConnection(boost::asio::ip::tcp::socket aSocket);

  /// Drops the idle connections: after a call without a reply they may be dead as well.
  void DropConnections() { idle_.clear(); }

  /// Reports whether the store answered a call, for the back-off.
  void ReportCall(bool aAnswered);

private:
  boost::asio::io_context& context_;
  const Clock& clock_;
  HttpClientSettings settings_;
  CallBudget budget_;
  bool closed_ = false;
  std::vector<boost::asio::ip::tcp::socket> idle_;
  std::vector<std::weak_ptr<HttpCall>> calls_;
};

} // namespace Detail
} // namespace redwing
