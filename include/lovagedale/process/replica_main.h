#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "lovagedale/control/settings.h"
#include "lovagedale/replication/log_store.h"

namespace lovagedale {

/// Runs a replica's service until it is told to stop; returns the exit code.
using run_replica = std::function<int(boost::asio::io_context& context,
                                      const replica_settings& settings,
                                      posix_disk& disk, log_store& store)>;

/// Picks the settings of the replica out of a settings file's text.
using extract_settings = std::function<std::string(const std::string& text)>;

/// The main function of a program that keeps a replicated log: its flags
/// (--initialize beside those of RunProcess), settings, logs and data folder.
/// `extract` is for files that hold more than the replica's settings.
auto RunReplicaProgram(int argc, char** argv, const std::string& name,
                       const std::string& description, const run_replica& run,
                       const extract_settings& extract = {}) -> int;

}  // namespace lovagedale
