#pragma once

#include "store/CallBudget.hpp"
#include "store/EtcdStore.hpp"
#include "store/Store.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

namespace redwing::Detail {

class EtcdCall;
class EtcdWatch;

/// One HTTP request to the store.
struct EtcdRequest
{
  std::string path_;
  std::string body_;
  /// The request may change the store, so that a lost reply leaves its outcome unknown.
  bool writes_ = false;
};

/// Shares connections and the call budget among the calls of one EtcdStore.
class EtcdClient : public std::enable_shared_from_this<EtcdClient>
{
public:
  EtcdClient(boost::asio::io_context& aContext,
             const Clock& aClock,
             std::uint64_t aSeed,
             EtcdStoreSettings aSettings);
  ~EtcdClient();
  EtcdClient(const EtcdClient&) = delete;
  EtcdClient& operator=(const EtcdClient&) = delete;

  /// Sends aRequest and passes the body of a 200 reply to aDone.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void Post(EtcdRequest aRequest, StoreCallback<std::string> aDone);

  /// Opens a watch stream; it counts as one call.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void PostWatch(EtcdRequest aRequest, Store::WatchCallback aEvents);

  /// Returns the io_context of the store thread.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  boost::asio::io_context& Context() { return context_; }

  const EtcdStoreSettings& Settings() const { return settings_; }

  // The methods below run on the store thread.

  /// Drops all connections and callbacks.
  void Close();
  bool Closed() const { return closed_; }

  /// Returns an idle connection that the store has not closed, or a closed socket.
  boost::asio::ip::tcp::socket TakeConnection();

  /// Keeps a connection whose last reply was read completely.
  void KeepConnection(boost::asio::ip::tcp::socket aSocket);

  /// Reports whether the store answered a call, for the back-off.
  void ReportCall(bool aAnswered);

private:
  void Start(EtcdRequest aRequest, StoreCallback<std::string> aDone);
  void StartWatch(EtcdRequest aRequest, Store::WatchCallback aEvents);

  boost::asio::io_context& context_;
  EtcdStoreSettings settings_;
  CallBudget budget_;
  bool closed_ = false;
  std::vector<boost::asio::ip::tcp::socket> idle_;
  std::vector<std::weak_ptr<EtcdCall>> calls_;
  std::vector<std::weak_ptr<EtcdWatch>> watches_;
};

} // namespace redwing::Detail
