"""Multi-site failover: detection of a site loss, load shedding, and the recovery of a returned site.

Loaded only if the configuration has a [sites] table. No module here does I/O; times are in seconds.

- `coordinator`: owns and updates the state of all the modules below for one worker.
- `peer_workers`, `site_report`: the other workers, and the reports that workers exchange.
- `admission_gate`, `shedding_order`, `admission_threshold`: which requests are shed in overload.
- `site_health`: which sites are lost, partitioned or returning, judged by membership and load.
- `load_pacing`, `recovery_ramp`, `evacuation_ramp`, `load_shift`: the load that this worker requests.
- `step_lease`: the fleet-wide lease that a returning site needs to advance its ramp.
- `operator_commands`: operators' commands for sites, replicated to all workers.
- `playbook` with `_check`, `_codec`, `_text` and `_exchange`: the planned reaction to a site loss.
- `site_events`: log events; `usual_load` and `rates`: the normal arrival rate and rate estimators.
- `status_view`: the `sites` section of `/status`.
"""
