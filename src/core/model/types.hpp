/// Includes all headers of the model, for directories outside the core that use most of them (wire,
/// state, agents, test doubles). Files of the core include only the headers that they use.
#pragma once

#include "core/model/agent_timings.hpp"
#include "core/model/heartbeat.hpp"
#include "core/model/image.hpp"
#include "core/model/job_spec.hpp"
#include "core/model/listed_machine.hpp"
#include "core/model/machine_type.hpp"
#include "core/model/resources.hpp"
#include "core/model/scale_out_request.hpp"
#include "core/model/service_level_objectives.hpp"
#include "core/model/team.hpp"
#include "core/model/time.hpp"
