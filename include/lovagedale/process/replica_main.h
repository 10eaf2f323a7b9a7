#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "lovagedale/control/settings.h"
#include "lovagedale/replication/log_store.h"

namespace lovagedale {

/// Runs a replica's service until a signal stops it; returns the exit code.
using run_replica = std::function<int(boost::asio::io_context& context,
                                      const replica_settings& settings,
                                      posix_disk& disk, log_store& store)>;

/// Extracts the replica's settings from the text of a settings file.
using extract_settings = std::function<std::string(const std::string& text)>;

/// Main function of a program that keeps a replicated log. Handles its flags
/// (--initialize in addition to those of RunProcess), settings, logs and data
/// folder. `extract` is for files that hold more than the replica's settings.
/// Returns the exit code.
auto RunReplicaProgram(int argc, char** argv, const std::string& name,
                       const std::string& description, const run_replica& run,
                       const extract_settings& extract = {}) -> int;

}  // namespace lovagedale
