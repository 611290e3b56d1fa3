#pragma once

#include "common/HttpServer.hpp"
#include "core/Random.hpp"
#include "store/KeyValueStore.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <optional>
#include <string>

namespace redwing::standins {

/// What the store does to calls, to imitate its troubles.
enum class StoreTrouble
{
  None,
  /// Answers 503; nothing is done.
  Busy,
  /// Closes the connection without an answer; nothing is done.
  Reset,
  /// Does what is asked and closes the connection without an answer.
  LosesAnswers,
  /// Takes calls and never answers them, nor those that wait; nothing is done.
  Silent,
};

/// Serves the key-value calls of the users' platform. Not thread-safe.
class PlatformStore
{
public:
  PlatformStore(boost::asio::io_context& aIo, Address aAddress);

  /// Sets what happens to calls from now on.
  ///
  /// Preconditions: none. Thread safety: the context's thread only.
  void SetTrouble(StoreTrouble aTrouble);

  /// Delays each call from now on by a random time up to aLongest before it is done, so that calls
  /// overtake each other; 0 ends this.
  ///
  /// Preconditions: none. Thread safety: the context's thread only.
  void SetDelay(std::chrono::milliseconds aLongest) { longestDelay_ = aLongest; }

  /// Writes a key as the operator does.
  ///
  /// Preconditions: none. Thread safety: the context's thread only.
  void Put(const std::string& aKey, const std::string& aValue);

  /// Forgets the changes so far: a watch from before them is answered 410.
  ///
  /// Preconditions: none. Thread safety: the context's thread only.
  void Compact() { compacted_ = store_.Revision(); }

  /// Keeps a copy of the store as it is now.
  ///
  /// Preconditions: none. Thread safety: the context's thread only.
  void Copy() { copy_ = Copied{ store_, compacted_ }; }

  /// Comes back from the last copy: later changes and leases are lost, their revisions and ids are
  /// given out again, and the era rises by one. The time of the copy's leases begins anew.
  /// Connections and waiting calls go on, as if their end did not reach the clients.
  ///
  /// Preconditions: Copy was called. Thread safety: the context's thread only.
  void Restore();

  /// Ends all leases at once.
  ///
  /// Preconditions: none. Thread safety: the context's thread only.
  void EndLeases();

  /// Grants leases of aLimit at most from now on; earlier ones keep their time to live.
  ///
  /// Preconditions: none. Thread safety: the context's thread only.
  void SetLeaseLimit(std::chrono::milliseconds aLimit) { leaseLimit_ = aLimit; }

  /// Sets the number of items in a page of a range.
  ///
  /// Preconditions: aItems is above 0. Thread safety: the context's thread only.
  void SetPageItems(std::size_t aItems) { pageItems_ = aItems; }

  KeyValueStore& Data() { return store_; }

private:
  struct Watch
  {
    HttpExchangePtr exchange_;
    std::string prefix_;
    std::int64_t after_ = 0;
    std::int64_t endNs_ = 0;
  };

  void Handle(const HttpExchangePtr& aExchange);
  /// Does what a call asks for and answers it.
  void Serve(const HttpExchangePtr& aExchange);
  void Respond(HttpExchange& aExchange, HttpResponse aResponse) const;
  HttpResponse Dispatch(const HttpRequest& aRequest);
  HttpResponse Transaction(const std::string& aBody);
  HttpResponse Range(const HttpRequest& aRequest);
  bool StartWatch(const HttpExchangePtr& aExchange);
  void AnswerWatches();
  void ScheduleExpiry();

  struct Copied
  {
    KeyValueStore store_;
    std::int64_t compacted_ = 0;
  };

  boost::asio::io_context& context_;
  KeyValueStore store_;
  std::optional<Copied> copy_;
  std::uint64_t era_ = 1;
  HttpServer server_;
  boost::asio::steady_timer timer_;
  std::list<Watch> watches_;
  /// Calls that are never answered.
  std::list<HttpExchangePtr> unanswered_;
  /// Small, so that tests see several pages.
  std::size_t pageItems_ = 3;
  std::chrono::milliseconds leaseLimit_ = std::chrono::milliseconds::max();
  StoreTrouble trouble_ = StoreTrouble::None;
  std::chrono::milliseconds longestDelay_{ 0 };
  Random random_{ 1 };
  std::int64_t compacted_ = 0;
};

} // namespace redwing::standins
