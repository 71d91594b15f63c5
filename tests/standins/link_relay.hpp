#ifndef CACTUSGW_TESTS_STANDINS_LINK_RELAY_HPP
#define CACTUSGW_TESTS_STANDINS_LINK_RELAY_HPP

/// A TCP link that a test can cut: forwards bytes between its own address and
/// a target, or holds them back in silence as a network partition does.

#include "cactusgw/net/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace cactusgw::standins {

/// Runs on a thread of its own.
class LinkRelay
{
public:
  /// Listens on a free port of 127.0.0.1.
  explicit LinkRelay(std::string aTarget);
  ~LinkRelay();
  LinkRelay(const LinkRelay&) = delete;
  LinkRelay& operator=(const LinkRelay&) = delete;

  /// The address that stands for the target.
  std::string Address() const;

  /// Nothing passes while cut, on old connections and new ones; connections
  /// stay open and silent.
  void SetCut(bool aCut) { mCut = aCut; }
  /// Limits what passes in both directions and on all connections together;
  /// zero means no limit.
  void SetBytesPerSecond(std::uint64_t aRate) { mBytesPerSecond = aRate; }
  /// Connections open now fall silent for good; new ones work.
  void ForgetOpenConnections() { ++mGeneration; }

private:
  Task<void> AcceptLoop();
  Task<void> Relay(net::ip::tcp::socket aSocket);
  Task<void> Copy(std::shared_ptr<net::ip::tcp::socket> aFrom,
                  std::shared_ptr<net::ip::tcp::socket> aTo,
                  std::uint64_t aGeneration);

  /// Waits for as long as the link needs for this many bytes.
  Task<void> Pace(std::size_t aBytes);

  std::string mTarget;
  net::io_context mContext;
  net::ip::tcp::acceptor mAcceptor;
  std::atomic<bool> mCut = false;
  std::atomic<std::uint64_t> mBytesPerSecond = 0;
  /// When everything that was accepted so far has passed.
  std::chrono::steady_clock::time_point mBusyUntil;
  std::atomic<std::uint64_t> mGeneration = 0;
  std::thread mThread;
};

} // namespace cactusgw::standins

#endif // CACTUSGW_TESTS_STANDINS_LINK_RELAY_HPP
