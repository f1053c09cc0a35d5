// Command snipestepctl is the operators' command line: it proposes intents,
// shows and confirms plans, and shows the status of the fleet.
//
// Exit codes: 0 success; 1 refused or failed; 2 wrong usage or settings;
// 3 conflict: the plan is stale, another plan was confirmed first, or too little
// capacity would be left; 4 no server answers; 5 the outcome of a confirmation is
// unknown, confirming again is safe; 130 interrupted.
package main
