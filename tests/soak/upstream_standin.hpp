#ifndef CACTUSGW_TESTS_SOAK_UPSTREAM_STANDIN_HPP
#define CACTUSGW_TESTS_SOAK_UPSTREAM_STANDIN_HPP

/// An upstream: does the work that the path of a request states, and records
/// its runs.

#include "channel.hpp"
#include "ledger.hpp"
#include "link_proxy.hpp"
#include "store_standin.hpp"
#include "work.hpp"

#include <atomic>
#include <cstdint>
#include <string>

namespace cactusgw::soak {

class UpstreamStandin
{
public:
  UpstreamStandin(Ledger& aLedger,
                  StoreStandin& aStore,
                  int aNumber,
                  std::string aService);

  LinkProxy& Link() { return mLink; }
  /// Writes its entry to the store.
  void Register(std::string_view aState);
  /// Its entry is removed; what runs goes on.
  void Leave();
  /// All connections are reset, and a new start is registered under the same
  /// id and address.
  void StartAgain();

private:
  void Serve(Channel& aChannel);
  /// Whether the connection is kept.
  bool Run(const Message& aRequest, const std::string& aId, Channel& aChannel);
  bool Answer(const Message& aRequest,
              const std::string& aId,
              const Work& aWork,
              Channel& aChannel) const;
  static bool SendStream(const Message& aRequest,
                         const std::string& aId,
                         const Work& aWork,
                         Channel& aChannel);

  Ledger& mLedger;
  StoreStandin& mStore;
  int mNumber;
  std::string mService;
  std::string mName;
  std::atomic<std::int64_t> mBorn = 1'780'000'000'000;
  std::atomic<std::int64_t> mSequence = 0;
  /// Connections of earlier starts are reset.
  std::atomic<int> mBoot = 0;
  Listener mListener;
  LinkProxy mLink;
};

} // namespace cactusgw::soak

#endif // CACTUSGW_TESTS_SOAK_UPSTREAM_STANDIN_HPP
