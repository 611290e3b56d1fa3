#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// Stand-ins and helpers shared by the cases of this review: blocking HTTP, the platform's store, a
/// backend server that sends heartbeats, and the processes of the deploy file.
namespace stage {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Headers : std::vector<std::pair<std::string, std::string>>
{
  using std::vector<std::pair<std::string, std::string>>::vector;

  /// Returns the value of a header, whatever the case of its name; empty if there is none.
  std::string Get(const std::string& aName) const;
};

struct Request
{
  std::string method_;
  std::string target_;
  Headers headers_;
  std::string body_;
};

struct Response
{
  /// 0 if there was no complete answer.
  int status_ = 0;
  Headers headers_;
  std::string body_;
};

/// A loopback address that belongs to this process alone, so that several runs may go on at once.
std::string Ip(int aHost);

struct Address
{
  std::string ip_;
  int port_ = 0;

  std::string Text() const { return ip_ + ":" + std::to_string(port_); }
};

/// Writes lines with the time since its start to a file. Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath);

  void Line(const std::string& aText);
  /// Returns the milliseconds since the start.
  std::int64_t Now() const;

private:
  std::mutex mutex_;
  std::ofstream file_;
  SteadyClock::time_point start_ = SteadyClock::now();
};

/// Sends one request on a connection of its own.
Response Call(const Address& aTo, const Request& aRequest, milliseconds aTimeout);

/// Sends one request as a requester does, and records when it was sent and how it was answered.
Response Ask(const Address& aTo, const Request& aRequest, milliseconds aTimeout, Record& aRecord);

/// Serves HTTP/1.1 with a thread for each connection. The handler returns nothing to close the
/// connection without an answer.
class HttpServer
{
public:
  using Handler = std::function<std::optional<Response>(const Request&)>;

  HttpServer(Address aAddress, Handler aHandler);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  const Address& At() const { return address_; }

private:
  void Accept();
  void Serve(int aSocket);

  Address address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopped_{ false };
  std::mutex mutex_;
  std::set<int> open_;
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

/// The platform's store: items, leases, conditional transactions and watches.
class Store
{
public:
  explicit Store(Address aAddress);
  ~Store();

  /// Writes as the operator does.
  void Put(const std::string& aKey, const std::string& aValue);
  /// Returns the value of a key; empty if there is none.
  std::string Get(const std::string& aKey);
  const Address& At() const { return server_->At(); }

private:
  struct Item
  {
    std::string value_;
    std::int64_t revision_ = 0;
    std::int64_t created_ = 0;
    std::int64_t lease_ = 0;
  };
  struct Change
  {
    std::int64_t revision_ = 0;
    std::string key_;
    std::optional<Item> item_;
  };
  struct Lease
  {
    milliseconds ttl_{ 0 };
    SteadyClock::time_point end_;
  };

  Response Handle(const Request& aRequest);
  Response Range(const std::string& aPrefix, const std::string& aAfter);
  Response Watch(const std::string& aPrefix, std::int64_t aAfter, milliseconds aWait);
  Response Transaction(const Json& aBody);
  void Write(const std::string& aKey, const std::string& aValue, std::int64_t aLease);
  void Remove(const std::string& aKey);
  void Expire();
  static Json ToJson(const std::string& aKey, const Item& aItem);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<std::int64_t, Lease> leases_;
  std::int64_t revision_ = 10;
  std::int64_t nextLease_ = 1000;
  bool stopped_ = false;
  std::thread expiry_;
  std::unique_ptr<HttpServer> server_;
};

/// An instance of the router: the program of deploy/system.toml with a settings file.
class Instance
{
public:
  Instance(int aHost, Json aSettings, std::string aDirectory);
  ~Instance();

  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Starts the process; its logs go to aOutput, or else to a file in the folder.
  void Start(int aOutput = -1);
  void Signal(int aSignal) const;
  /// Waits for the end of the process.
  void Wait();
  bool AwaitReady(milliseconds aLimit) const;
  Address Callers() const { return { ip_, kPort + 1 }; }
  Address Readiness() const { return { ip_, kPort + 2 }; }
  Address Heartbeats() const { return { ip_, kPort + 3 }; }

  static constexpr int kPort = 24600;

private:
  std::string ip_;
  Json settings_;
  std::string path_;
  pid_t process_ = 0;
  int starts_ = 0;
};

/// Returns the settings of an instance in a small deployment, with the bounds of the users' pages.
Json SettingsOf(int aHost,
                const std::string& aZone,
                const std::string& aService,
                const Address& aServer,
                const Address& aStore);

/// What a backend server says of itself, and the keys that it holds. Thread-safe.
class Backend
{
public:
  Backend(std::string aId, std::string aService, std::string aZone, Address aAddress, int aSlots);

  const std::string& Id() const { return id_; }
  const Address& At() const { return address_; }
  void SetState(const std::string& aState);
  /// Makes it cold from now on, as a server is that starts during traffic.
  void SetCold(milliseconds aTime);
  /// Returns the next heartbeat, to be sent at once or later.
  Request NextHeartbeat(bool aKeyed);
  /// Takes the grants of a reply to a heartbeat sent at aSentAt.
  void Take(const Json& aReply, SteadyClock::time_point aSentAt);
  bool Holds(int aKey) const;
  /// Begins to work on a request for a key; returns whether the key is held.
  bool Begin(int aKey);
  void End(int aKey);
  /// Sends a heartbeat; returns whether it was acknowledged within a second.
  bool Beat(const Address& aTo, bool aKeyed);
  /// Returns whether keys were taken away that have not been reported as released yet.
  bool Releases() const;
  /// Returns the size of the largest reply to a heartbeat so far.
  std::size_t LargestReply() const;
  bool Leave(const Address& aTo) const;

private:
  struct Key
  {
    bool held_ = false;
    bool freed_ = false;
    int working_ = 0;
    std::int64_t fence_ = 0;
    /// Highest generation number that was ever granted.
    std::int64_t seen_ = 0;
  };

  void Expire();

  std::string id_;
  std::string service_;
  std::string zone_;
  Address address_;
  int slots_;
  std::int64_t born_;
  mutable std::mutex mutex_;
  std::string state_ = "ready";
  SteadyClock::time_point coldUntil_{};
  std::int64_t sequence_ = 0;
  std::vector<Key> keys_;
  SteadyClock::time_point holdsUntil_{};
  bool releases_ = false;
  std::size_t largestReply_ = 0;
};

/// Sends the heartbeats of a backend server, one each heartbeatIntervalMs, and within 100 ms while
/// it releases keys.
class Beats
{
public:
  Beats(Backend& aBackend, Address aTo, bool aKeyed);
  ~Beats();

  /// Ends the heartbeats; one that is being sent is finished first.
  void Stop();

private:
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopped_ = false;
  std::thread thread_;
};

/// Sends safe requests one after the other, each on a new connection, until it is stopped.
class Poller
{
public:
  Poller(Address aTo,
         std::function<Request(int aNumber)> aNext,
         milliseconds aPause,
         Record& aRecord);
  ~Poller();

  /// Returns how many requests were answered with 200.
  int Served() const { return served_; }

private:
  std::atomic<bool> stopped_{ false };
  std::atomic<int> served_{ 0 };
  std::thread thread_;
};

/// Returns a manifest with two services, `desk` and `lab`, each with one route for safe requests:
/// `/desk/` and `/lab/` of host `mesh.example`.
Json Manifest(bool aDeskIsSharded, milliseconds aTimeout);

/// Returns a safe request for a path of that manifest.
Request SafeRequest(const std::string& aId, const std::string& aPath, milliseconds aTimeLeft);

/// Returns a response to a request as a backend server makes it.
Response Served(const Request& aRequest, const Backend& aBackend);

/// Returns whether the disruption of the case is to be left out.
bool Calm();

/// Plays a case with its record at the path of the first argument; returns the exit code of the
/// program: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
int RunCase(int aCount, char** aArguments, const std::function<int(Record&)>& aPlay);

/// Returns a temporary folder of this process.
std::string TemporaryFolder();

} // namespace stage
