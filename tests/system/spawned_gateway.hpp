#ifndef CACTUSGW_TESTS_SYSTEM_SPAWNED_GATEWAY_HPP
#define CACTUSGW_TESTS_SYSTEM_SPAWNED_GATEWAY_HPP

/// A gateway process of which a test controls the start and the output.

#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace cactusgw::test {

/// The addresses and further members of a settings file.
struct SpawnSettings
{
  std::string mListen;
  std::string mReadyListen;
  std::string mMetricsListen;
  std::string mPeerListen;
  std::string mPlatform;
  std::string mVm = "vm-1";
  /// Further members, each preceded by a comma.
  std::string mExtra;

  /// Free addresses everywhere.
  static SpawnSettings Free();
  std::string Text() const;
};

class SpawnedGateway
{
public:
  /// @param aPath the settings file; a FIFO is allowed
  /// @param aOutput standard output of the process
  /// @param aPending signals that are pending and blocked when it starts
  SpawnedGateway(const std::string& aPath,
                 int aOutput,
                 const std::vector<int>& aPending = {});
  ~SpawnedGateway();
  SpawnedGateway(const SpawnedGateway&) = delete;
  SpawnedGateway& operator=(const SpawnedGateway&) = delete;

  pid_t Pid() const { return mPid; }
  void Signal(int aSignal) const;
  /// The exit code, or minus the number of the signal that ended it. A process
  /// that has not ended after the time is killed (minus SIGKILL).
  int WaitForExit(int aMilliseconds);
  /// The largest resident memory so far, in KiB.
  long PeakKiB() const;

private:
  pid_t mPid = 0;
};

/// A pipe; both ends are closed on exec.
struct Pipe
{
  Pipe();
  ~Pipe();
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  void CloseWriter();
  /// Reads until the text was read or the writers are gone.
  /// @return all that was read
  std::string ReadUntil(std::string_view aText) const;

  int mReader = -1;
  int mWriter = -1;
};

/// A folder with one file that is removed with it.
class ScratchFile
{
public:
  explicit ScratchFile(std::string_view aText);
  ~ScratchFile();
  ScratchFile(const ScratchFile&) = delete;
  ScratchFile& operator=(const ScratchFile&) = delete;

  const std::string& Path() const { return mPath; }
  /// Replaces the file, also a FIFO, in one step.
  void Replace(std::string_view aText) const;

private:
  std::string mFolder;
  std::string mPath;
};

} // namespace cactusgw::test

#endif // CACTUSGW_TESTS_SYSTEM_SPAWNED_GATEWAY_HPP
