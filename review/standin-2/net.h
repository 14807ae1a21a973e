#pragma once
// Small blocking HTTP/1.1 client for the stand-ins. Loopback only.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace standin {

struct answer
{
    int status = 0;
    std::string body;
};

using headers = std::map<std::string, std::string>;

// Milliseconds of the steady clock since the program began.
std::int64_t nowMs();

// Milliseconds since 1970.
std::int64_t wallMs();

void sleepMs(std::int64_t ms);

// Sends one request on a new connection and reads the answer. Nothing if there is none in time.
// `address` is IP:port.
std::optional<answer> call(const std::string &address, const std::string &method,
                           const std::string &path, const headers &fields, const std::string &body,
                           std::int64_t timeoutMs);

// Connects and sends one request, and returns the socket without reading from it, or -1.
int sendOnly(const std::string &address, const std::string &method, const std::string &path,
             const headers &fields, const std::string &body);

// Returns whether something listens at an address.
bool isListening(const std::string &address);

} // namespace standin
