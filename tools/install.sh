#!/usr/bin/env bash
# Installs the Debian packages the project needs, where any is missing.
set -euo pipefail
cd "$(dirname "$0")/.."

missing=()
while read -r package; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q "install ok installed"; then
    missing+=("$package")
  fi
done <tools/packages.txt

if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
sudo=""
if [ "$(id -u)" -ne 0 ]; then
  sudo="sudo"
fi
echo "Installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -qq
$sudo apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
