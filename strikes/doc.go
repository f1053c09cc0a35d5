// Package strikes keeps what one process knows of requests that crash endpoints, and
// exchanges it with other processes. Entries record strikes and pass them to agents,
// which hand on what is new to them; a process that starts gets the strikes that others
// still know. Nothing is stored: if all processes stop at once, the strikes are lost and
// recorded again at the next crashes.
package strikes
